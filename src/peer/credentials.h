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

/// PEM files for mutual TLS between operators, VMs and each other. gRPC reads them again every few seconds, so that a renewed
/// certificate is used without a restart; renew certificate and key by renaming the folder or its symbolic link, since they must match.
struct TlsFiles
{
    std::string certificate;
    std::string key;
    /// Whose certificates are trusted, at both ends.
    std::string ca;

    bool operator==(const TlsFiles &) const = default;
};

/// Error: Invalid, when a file can't be read: gRPC itself would only fail each connection later, without naming the file.
Result<Done> checkFiles(const TlsFiles &files);

/// Credentials for calls to others; plaintext without files. The other end's certificate must be signed by the CA and name the IP
/// address that is called.
std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const std::optional<TlsFiles> &files);
/// Credentials for being called; plaintext without files. A caller must show a certificate signed by the CA.
std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::optional<TlsFiles> &files);

}
