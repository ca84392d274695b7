#pragma once

#include "common/eventloop.h"
#include "peer/datagramsocket.h"
#include "placement/placementclient.h"
#include "placement/placementserver.h"
#include "proxy/instancelistreader.h"
#include "upstream/answersignals.h"

#include <memory>
#include <optional>

namespace cumindyke
{

struct PlacementHostOptions
{
    VmName vm;
    UpstreamPoolOptions pool;
    std::uint64_t incarnation = 0;
    /// Address where datagrams are received; other VMs use the same port. Without it every VM places its own requests.
    std::optional<Address> datagrams;
    /// Tokens (or requests) that may be admitted beyond each organisation's limit.
    std::uint64_t limitTolerance = 0;
    PlacementFeatures features = {};
    InstanceListProtocol list;
    /// Time between two reads of the platform's list, while this VM acts as placement server.
    Duration listInterval = std::chrono::seconds(1);
};

/// Runs placement on an entry VM's loop: sends the VM's own placement requests to its data centre's placement server, and acts as placement server
/// when other VMs use this one. Only a placement server reads the platform's list, so the number of readers grows with the data centres, not with the
/// VMs.
class PlacementHost
{
public:
    /// Error: Unavailable, if the address for datagrams can't be bound.
    static Result<std::unique_ptr<PlacementHost>> open(EventLoop &loop, PlacementHostOptions options);

    /// Answered by granted() or refused(), unless ended() is called before.
    PlacementId requestPlacement(SlotRequest request);
    /// See PlacementClient.
    void recordFirstEvent(PlacementId id, Duration after);
    void recordEarlyPace(PlacementId id, double paceMs);
    bool recordRequestLimit(const InstanceName &upstream, std::optional<double> perSecond);
    /// Records what an upstream said to this VM in an answer; returns whether it is new.
    bool recordSignals(const UpstreamProcess &upstream, const AnswerSignals &signals);
    /// See UpstreamSignals.
    void recordUnreachable(const UpstreamProcess &upstream)
    {
        m_client.signals().recordUnreachable(upstream, EventLoop::now());
    }
    void recordReached(const UpstreamProcess &upstream)
    {
        m_client.signals().recordReached(upstream);
    }
    /// Tells a VM that relayed the connection what the upstream said to it.
    void sendSignals(const VmName &relay, const UpstreamProcess &upstream, const AnswerSignals &signals);
    /// See UpstreamSignals.
    bool isHeld(const UpstreamProcess &upstream) const
    {
        return m_client.signals().isHeld(upstream, EventLoop::now());
    }
    void ended(PlacementId id, v1::PlacementOutcome outcome, const AnswerPace &pace);
    /// Emitted for the requests of this VM.
    sigc::signal<void, const PlacementGranted &> &granted()
    {
        return m_granted;
    }
    sigc::signal<void, const PlacementRefused &> &refused()
    {
        return m_refused;
    }
    /// Emitted for what this VM's server places.
    sigc::signal<void, const PlacementServer::Ejection &> &ejected()
    {
        return m_ejected;
    }
    /// Emitted when slots of this data centre were left to another one, used there or not used.
    sigc::signal<void, const PeerWaiting::Report &> &slotsLeft()
    {
        return m_slotsLeft;
    }
    sigc::signal<void, const ReturnCounts &> &returnsCounted()
    {
        return m_returnsCounted;
    }

    /// See InstanceListReader.
    sigc::signal<void, std::size_t> &listEntriesRejected()
    {
        return m_listReader.entriesRejected();
    }
    sigc::signal<void> &listReadFailed()
    {
        return m_listReader.readFailed();
    }

    void setFleet(const v1::FleetTally &fleet);
    void setRoutes(const v1::RouteTable &routes);
    /// Sends the state of this VM even if it has no requests: placement servers derive their coverage from the VMs that they know.
    void announce();
    void setRollouts(const std::map<std::string, v1::Rollout> &rollouts);
    void setEvacuated(const std::set<DataCentreName> &evacuated);
    /// From now on replies tell other VMs to use another server.
    void startLeaving();

private:
    PlacementHost(EventLoop &loop, PlacementHostOptions options);

    void setList(const InstanceList &list);
    void handleDatagram(const std::string &host, std::string_view bytes);
    void handleState(const VmName &from, const v1::EntryState &state);
    void handleReply(const VmName &from, const v1::PlacementReply &reply);
    void handleRelayedSignal(const v1::UpstreamSignal &message);
    void send(const VmName &to, v1::PlacementDatagram &&datagram);
    void sendBytes(const VmName &to, const std::string &bytes);
    std::string serialize(v1::PlacementDatagram &&datagram) const;
    void scheduleState();
    void sendState();
    void sendDeparture(const VmName &previousServer);
    void scheduleAdvance();
    void advance();
    void reportLeftSlots();
    void sendNotices();
    void tick();

    const PlacementHostOptions m_options;
    std::unique_ptr<DatagramSocket> m_socket;
    PlacementClient m_client;
    PlacementServer m_server;
    InstanceListReader m_listReader;
    /// When any VM last had requests here.
    TimePoint m_lastUsedAt{};
    bool m_isReadingList = false;
    bool m_leaving = false;
    std::uint64_t m_lastNoticeSequence = 0;
    std::uint64_t m_tickCount = 0;
    TimePoint m_lastAdvanceAt{};
    TimePoint m_lastNoticeAt{};
    /// Some requests waited by the last notice.
    bool m_hasReportedWaiting = false;
    VmName m_previousServer;
    Timer m_stateTimer;
    Timer m_advanceTimer;
    Timer m_noticeTimer;
    Timer m_tickTimer;
    bool m_stateDue = false;
    bool m_advanceDue = false;
    bool m_noticeDue = false;
    sigc::signal<void, const PlacementGranted &> m_granted;
    sigc::signal<void, const PlacementRefused &> m_refused;
    sigc::signal<void, const PlacementServer::Ejection &> m_ejected;
    sigc::signal<void, const PeerWaiting::Report &> m_slotsLeft;
    sigc::signal<void, const ReturnCounts &> m_returnsCounted;
};

}
