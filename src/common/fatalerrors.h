#pragma once

#include <string>

namespace cumindyke
{

/// Has the process write one line ("change=process-ends", with the reason, the connection that its thread read last, that connection's peer and its state)
/// before it ends because a library or an exception can't go on: fatal errors of libevent, uncaught exceptions, and abort(), which failed checks of the RPC
/// library call. With a file the line is appended to it, too. Call once, before any task starts.
void reportFatalErrors(const std::string &file);

/// Returns the number of lines in the file: how often processes with this file have ended so, since the file was created. 0 if it can't be read.
int countFatalErrors(const std::string &file);

/// Remembers what this thread reads. The state is a literal.
void noteInput(int socket, const char *state);

}
