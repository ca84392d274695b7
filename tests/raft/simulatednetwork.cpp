#include "raft/simulatednetwork.h"

namespace cumindyke::raft::test
{

namespace
{

constexpr std::uint64_t SlowMaxDelay = 300'000;

}

void SimulatedNetwork::post(const v1::RaftMessage &message, TimePoint now)
{
    const int copies = m_faulty && m_random.chance(20) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (m_faulty && m_random.chance(m_lossPermille)) {
            continue;
        }
        const std::uint64_t maxDelay = !m_faulty || m_random.chance(960) ? m_maxDelay : m_random.chance(700) ? 400'000 : 3'000'000;
        m_inFlight.push(
            InFlight{.arrivesAt = now + Duration(static_cast<Duration::rep>(500 + m_random.below(maxDelay))), .sequence = ++m_sequence, .message = message});
    }
}

std::optional<v1::RaftMessage> SimulatedNetwork::nextArrived(TimePoint now)
{
    while (!m_inFlight.empty() && m_inFlight.top().arrivesAt <= now) {
        v1::RaftMessage message = m_inFlight.top().message;
        m_inFlight.pop();
        if (!m_blocked.contains({message.from(), message.to()})) {
            return message;
        }
    }
    return {};
}

void SimulatedNetwork::isolate(const VmName &vm, const std::vector<VmName> &others, bool in, bool out)
{
    for (const VmName &other : others) {
        if (out) {
            m_blocked.insert({vm.value, other.value});
        }
        if (in) {
            m_blocked.insert({other.value, vm.value});
        }
    }
}

void SimulatedNetwork::partition(const std::vector<VmName> &vms)
{
    const std::uint64_t sides = m_random.generator()();
    for (std::size_t i = 0; i < vms.size(); ++i) {
        for (std::size_t j = 0; j < vms.size(); ++j) {
            if (((sides >> i) & 1U) != ((sides >> j) & 1U)) {
                m_blocked.insert({vms[i].value, vms[j].value});
            }
        }
    }
}

void SimulatedNetwork::changeConditions()
{
    m_lossPermille = m_random.chance(300) ? 100 : 5;
    m_maxDelay = m_random.chance(200) ? SlowMaxDelay : FastMaxDelay;
    if (m_random.chance(400)) {
        endPartitions();
    }
}

void SimulatedNetwork::setFaulty(bool faulty)
{
    m_faulty = faulty;
    if (!faulty) {
        m_maxDelay = FastMaxDelay;
        endPartitions();
    }
}

bool SimulatedNetwork::isSlow() const
{
    return m_maxDelay != FastMaxDelay;
}

}
