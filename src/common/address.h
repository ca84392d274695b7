#pragma once

#include "common/result.h"
#include "common/types.h"

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace cumindyke
{

/// Parses "A.B.C.D:PORT". Host names are not resolved: processes use only IP addresses. Error: Invalid.
Result<Address> parseAddress(std::string_view text);

/// Whether a process can have the address: its port is not 0, and its host is no network, multicast, reserved or broadcast address.
bool isUsable(const Address &address);

/// The form that sockets take; none: the host is not an IPv4 address.
std::optional<sockaddr_in> socketAddress(const Address &address);

}
