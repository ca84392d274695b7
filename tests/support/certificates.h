#pragma once

#include "peer/credentials.h"

#include <memory>
#include <string>

namespace cumindyke::test
{

/// A certificate authority with a new key for each test.
class CertificateAuthority
{
public:
    CertificateAuthority();
    ~CertificateAuthority();
    CertificateAuthority(const CertificateAuthority &) = delete;
    CertificateAuthority &operator=(const CertificateAuthority &) = delete;

    /// Writes a certificate for an IP address, its key and the authority's own certificate into a folder; existing files are replaced.
    TlsFiles issue(const std::string &folder, const std::string &ip);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

}
