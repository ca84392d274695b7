#include "peer/credentials.h"

#include "common/tomlreader.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace cumindyke
{

namespace
{

constexpr unsigned int RefreshIntervalSeconds = 5;

void watchFiles(grpc::experimental::TlsCredentialsOptions &options, const TlsFiles &files)
{
    options.set_certificate_provider(
        std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(files.key, files.certificate, files.ca, RefreshIntervalSeconds));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
}

}

Result<Done> checkTlsFiles(const TlsFiles &files)
{
    for (const std::string &file : {files.certificate, files.key, files.ca}) {
        const Result<std::string> content = readFile(file);
        if (!ok(content)) {
            return Error{ErrorKind::Invalid, "the TLS file '" + file + "' can't be read: name certificate, key and ca, readable by this user"};
        }
        if (valueOf(content).find("-----BEGIN") == std::string::npos) {
            return Error{ErrorKind::Invalid, "the TLS file '" + file + "' is not PEM: convert it"};
        }
    }
    return Done{};
}

std::shared_ptr<grpc::ChannelCredentials> channelCredentials(const std::optional<TlsFiles> &files)
{
    if (!files) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::experimental::TlsChannelCredentialsOptions options;
    watchFiles(options, *files);
    return grpc::experimental::TlsCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::optional<TlsFiles> &files)
{
    if (!files) {
        return grpc::InsecureServerCredentials();
    }
    grpc::experimental::TlsServerCredentialsOptions options(
        std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(files->key, files->certificate, files->ca, RefreshIntervalSeconds));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return grpc::experimental::TlsServerCredentials(options);
}

}
