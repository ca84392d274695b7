#include "upstream/socketend.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace cumindyke
{

bool hasIntactEnd(int socket)
{
    pollfd state{.fd = socket, .events = POLLIN, .revents = 0};
    if (poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
        return false;
    }
    int unacknowledged = 0;
    return ioctl(socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

}
