#include "support/certificates.h"

#include <catch2/catch.hpp>

#include <openssl/bio.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <sys/stat.h>

#include <cstdio>
#include <fstream>

namespace cumindyke::test
{

namespace
{

constexpr long ValiditySeconds = 24 * 3600;
constexpr long X509Version3 = 2;

using KeyPointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePointer = std::unique_ptr<X509, decltype(&X509_free)>;

KeyPointer makeKey()
{
    return {EVP_EC_gen("P-256"), &EVP_PKEY_free};
}

void addExtension(X509 *certificate, int kind, const std::string &value)
{
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value.c_str());
    REQUIRE(extension);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

/// Returns an unsigned certificate.
CertificatePointer makeCertificate(EVP_PKEY *key, const std::string &name, long serial)
{
    CertificatePointer certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), X509Version3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -ValiditySeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValiditySeconds);
    X509_set_pubkey(certificate.get(), key);
    const auto *text = reinterpret_cast<const unsigned char *>(name.c_str());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate.get()), "CN", MBSTRING_ASC, text, -1, -1, 0);
    return certificate;
}

std::string pemOf(X509 *certificate, EVP_PKEY *key)
{
    BIO *memory = BIO_new(BIO_s_mem());
    if (certificate) {
        PEM_write_bio_X509(memory, certificate);
    } else {
        PEM_write_bio_PrivateKey(memory, key, nullptr, nullptr, 0, nullptr, nullptr);
    }
    char *bytes = nullptr;
    const long length = BIO_get_mem_data(memory, &bytes);
    std::string pem(bytes, static_cast<std::size_t>(length));
    BIO_free(memory);
    return pem;
}

void replaceFile(const std::string &file, const std::string &content)
{
    std::ofstream(file + ".new") << content;
    REQUIRE(std::rename((file + ".new").c_str(), file.c_str()) == 0);
}

}

struct CertificateAuthority::Private
{
    KeyPointer key = makeKey();
    CertificatePointer certificate = makeCertificate(key.get(), "authority of a test", 1);
    long serial = 1;
};

CertificateAuthority::CertificateAuthority()
    : d(std::make_unique<Private>())
{
    X509 *own = d->certificate.get();
    X509_set_issuer_name(own, X509_get_subject_name(own));
    addExtension(own, NID_basic_constraints, "critical,CA:TRUE");
    REQUIRE(X509_sign(own, d->key.get(), EVP_sha256()) > 0);
}

CertificateAuthority::~CertificateAuthority() = default;

TlsFiles CertificateAuthority::issue(const std::string &folder, const std::string &ip)
{
    mkdir(folder.c_str(), 0700);
    const KeyPointer key = makeKey();
    const CertificatePointer certificate = makeCertificate(key.get(), ip, ++d->serial);
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(d->certificate.get()));
    addExtension(certificate.get(), NID_subject_alt_name, "IP:" + ip);
    REQUIRE(X509_sign(certificate.get(), d->key.get(), EVP_sha256()) > 0);
    TlsFiles files{.certificate = folder + "/certificate.pem", .key = folder + "/key.pem", .ca = folder + "/ca.pem"};
    replaceFile(files.key, pemOf(nullptr, key.get()));
    replaceFile(files.certificate, pemOf(certificate.get(), nullptr));
    replaceFile(files.ca, pemOf(d->certificate.get(), nullptr));
    return files;
}

}
