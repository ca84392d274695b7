#pragma once

#include "common/types.h"

#include <chrono>

namespace cumindyke::test
{

/// Returns a connected socket that sends each piece at once, or -1.
int connectTo(const Address &address);
/// Zero: for ever.
void setReceiveTimeout(int socket, std::chrono::milliseconds timeout);
/// Closes it if it is open, and sets it to -1.
void closeSocket(int &socket);

}
