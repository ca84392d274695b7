#include "ctl/client.h"
#include "support/certificates.h"
#include "support/processes.h"

#include <catch2/catch.hpp>

using namespace cumindyke;
using namespace cumindyke::test;

namespace
{

std::string tlsSettings(const TlsFiles &files)
{
    return "[tls]\ncertificate = \"" + files.certificate + "\"\nkey = \"" + files.key + "\"\nca = \"" + files.ca + "\"\n";
}

bool isServed(const DaemonProcess &daemon, const std::optional<TlsFiles> &files)
{
    return ok(OperatorClient(daemon.rpc(), std::chrono::seconds(2), files).get());
}

}

// Nobody who reaches the operators' port may change anything without a certificate of the configured authority: neither in plaintext nor
// with a certificate signed by another authority. The operators' tool works with a valid certificate.
TEST_CASE("only callers with a certificate of the configured authority are served")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    CertificateAuthority authority;
    CertificateAuthority otherAuthority;
    const DaemonProcess daemon(folder, "vm-1", network.host(1), tlsSettings(authority.issue(folder.file("vm-1-tls"), network.host(1))));
    const TlsFiles trusted = authority.issue(folder.file("operator"), "127.0.0.1");
    CHECK(isServed(daemon, trusted));
    CHECK_FALSE(isServed(daemon, {}));
    const TlsFiles untrusted = otherAuthority.issue(folder.file("stranger"), "127.0.0.1");
    CHECK_FALSE(isServed(daemon, untrusted));
    CHECK_FALSE(isServed(daemon, TlsFiles{.certificate = untrusted.certificate, .key = untrusted.key, .ca = trusted.ca}));
    CHECK(daemon.ctl({"get", "--cert", trusted.certificate, "--key", trusted.key, "--ca", trusted.ca}).exitCode == 0);
    CHECK(daemon.ctl({"get"}).exitCode == 4);
    CHECK(daemon.ctl({"get", "--cert", trusted.certificate}).exitCode == 2);
    CHECK(daemon.ctl({"get", "--cert", folder.file("none"), "--key", trusted.key, "--ca", trusted.ca}).exitCode == 2);
}

// Expiring certificates are replaced on the running daemon, here by those of a new authority. New connections use the new ones after some
// seconds, so no daemon with requests in flight has to be restarted.
TEST_CASE("replaced certificates are used without a restart")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    CertificateAuthority before;
    CertificateAuthority after;
    const std::string files = folder.file("vm-1-tls");
    DaemonProcess daemon(folder, "vm-1", network.host(1), tlsSettings(before.issue(files, network.host(1))));
    CHECK(isServed(daemon, before.issue(folder.file("operator"), "127.0.0.1")));
    after.issue(files, network.host(1));
    const TlsFiles renewed = after.issue(folder.file("renewed"), "127.0.0.1");
    CHECK(eventually([&] { return isServed(daemon, renewed); }));
    CHECK(daemon.process().running());
}

// VMs also authenticate each other: the second one gets its configuration from the first over TLS and becomes ready.
TEST_CASE("VMs with certificates of one authority form a system")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    CertificateAuthority authority;
    const auto settings = [&](int self, int peer) {
        return "replicas = [\"vm-1\"]\n" + tlsSettings(authority.issue(folder.file("tls-" + std::to_string(self)), network.host(self))) + "[[peer]]\nvm = \"vm-"
            + std::to_string(peer) + "\"\nrpc_address = \"" + network.host(peer) + ":8081\"\n";
    };
    const DaemonProcess first(folder, "vm-1", network.host(1), settings(1, 2));
    const DaemonProcess second(folder, "vm-2", network.host(2), settings(2, 1));
    const TemporaryFolder declarations;
    writeFile(declarations.file("office.toml"), "[[tier]]\nname = \"committee\"\nrank = 0\n");
    const TlsFiles trusted = authority.issue(folder.file("operator"), "127.0.0.1");
    CHECK(second.ctl({"apply", declarations.path(), "--cert", trusted.certificate, "--key", trusted.key, "--ca", trusted.ca}).exitCode == 0);
    CHECK(second.waitUntilReady());
}
