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

bool answers(const DaemonProcess &daemon, const std::optional<TlsFiles> &files)
{
    return ok(OperatorClient(daemon.rpc(), std::chrono::seconds(2), files).get());
}

}

// Somebody who reaches the operators' port must not change anything without a certificate of the office: not in plaintext, not with a
// certificate that another authority signed. The operators' tool with a right one works.
TEST_CASE("only certificates of the own authority are served")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    CertificateAuthority office;
    CertificateAuthority stranger;
    const DaemonProcess daemon(folder, "vm-1", network.host(1), tlsSettings(office.issue(folder.file("vm-1-tls"), network.host(1))));
    const TlsFiles ours = office.issue(folder.file("operator"), "127.0.0.1");
    CHECK(answers(daemon, ours));
    CHECK_FALSE(answers(daemon, {}));
    const TlsFiles theirs = stranger.issue(folder.file("stranger"), "127.0.0.1");
    CHECK_FALSE(answers(daemon, theirs));
    CHECK_FALSE(answers(daemon, TlsFiles{.certificate = theirs.certificate, .key = theirs.key, .ca = ours.ca}));
    CHECK(daemon.ctl({"get", "--cert", ours.certificate, "--key", ours.key, "--ca", ours.ca}).exitCode == 0);
    CHECK(daemon.ctl({"get"}).exitCode == 4);
    CHECK(daemon.ctl({"get", "--cert", ours.certificate}).exitCode == 2);
    CHECK(daemon.ctl({"get", "--cert", folder.file("none"), "--key", ours.key, "--ca", ours.ca}).exitCode == 2);
}

// The certificates run out and are replaced on the running daemon, here by those of a new authority. New connections use the new ones
// after some seconds; nobody has to restart a daemon with requests in flight.
TEST_CASE("replaced certificates are used without a restart")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    CertificateAuthority before;
    CertificateAuthority after;
    const std::string files = folder.file("vm-1-tls");
    DaemonProcess daemon(folder, "vm-1", network.host(1), tlsSettings(before.issue(files, network.host(1))));
    CHECK(answers(daemon, before.issue(folder.file("operator"), "127.0.0.1")));
    after.issue(files, network.host(1));
    const TlsFiles renewed = after.issue(folder.file("renewed"), "127.0.0.1");
    CHECK(eventually([&] { return answers(daemon, renewed); }));
    CHECK(daemon.process().running());
}

// VMs authenticate each other too: the second gets its configuration from the first over TLS, and becomes ready.
TEST_CASE("VMs with certificates of one authority form a system")
{
    const TemporaryFolder folder;
    const TestNetwork network;
    CertificateAuthority office;
    const auto settings = [&](int self, int peer) {
        return "replicas = [\"vm-1\"]\n" + tlsSettings(office.issue(folder.file("tls-" + std::to_string(self)), network.host(self))) + "[[peer]]\nvm = \"vm-"
            + std::to_string(peer) + "\"\nrpc_address = \"" + network.host(peer) + ":8081\"\n";
    };
    const DaemonProcess first(folder, "vm-1", network.host(1), settings(1, 2));
    const DaemonProcess second(folder, "vm-2", network.host(2), settings(2, 1));
    const TemporaryFolder declarations;
    writeFile(declarations.file("office.toml"), "[[tier]]\nname = \"committee\"\nrank = 0\n");
    const TlsFiles ours = office.issue(folder.file("operator"), "127.0.0.1");
    CHECK(second.ctl({"apply", declarations.path(), "--cert", ours.certificate, "--key", ours.key, "--ca", ours.ca}).exitCode == 0);
    CHECK(second.waitReady());
}
