#pragma once

#include "common/types.h"

#include <array>
#include <string>

namespace cumindyke::test
{

/// An address whose connections hang: its queue of connections is full, and nobody accepts.
class HangingAddress
{
public:
    explicit HangingAddress(const std::string &host);
    ~HangingAddress();
    HangingAddress(const HangingAddress &) = delete;
    HangingAddress &operator=(const HangingAddress &) = delete;

    const Address &address() const
    {
        return m_address;
    }

private:
    int m_listener;
    std::array<int, 2> m_callers{};
    Address m_address;
};

}
