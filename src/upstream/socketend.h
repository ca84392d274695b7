#pragma once

namespace cumindyke
{

/// Whether a connection that the other end has closed in order is intact: all that was written has arrived there, and no reset has followed. The kernel
/// reports a reset that follows an end to no reader.
bool hasIntactEnd(int socket);

}
