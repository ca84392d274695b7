#pragma once

#include "common/result.h"

#include <memory>
#include <optional>
#include <string>

namespace grpc
{
class ChannelCredentials;
class ServerCredentials;
}

namespace cumindyke
{

/// PEM files for mutual TLS among operators and VMs. gRPC rereads them every few seconds, so a renewed certificate is used without a
/// restart. Certificate and key must match, so renew them together by renaming their folder or its symbolic link.
struct TlsFiles
{
    std::string certificate;
    std::string key;
    /// Certificate authority that both ends trust.
    std::string ca;

    bool operator==(const TlsFiles &) const = default;
};

/// Checks that the files can be read and are PEM. Error: Invalid. gRPC itself would only fail each connection later, without naming the
/// file.
Result<Done> checkTlsFiles(const TlsFiles &files);

/// Returns the credentials for outgoing calls; plaintext without files. The certificate of the other end must be signed by the CA and name
/// the called IP address.
std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const std::optional<TlsFiles> &files);
/// Returns the credentials of a server; plaintext without files. A caller must present a certificate signed by the CA.
std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::optional<TlsFiles> &files);

}
