#include "console_fixture.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace crowlink
{
namespace
{

// A self-signed certificate for 127.0.0.1 and its key, as PEM files.
void write_certificate(const std::string& certificate_file,
                       const std::string& key_file)
{
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME* name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    X509_sign(certificate, key, EVP_sha256());
    std::FILE* file = std::fopen(certificate_file.c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
    file = std::fopen(key_file.c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

TEST(tls, is_spoken_when_certificate_and_key_are_set)
{
    scratch_folder files;
    console_settings settings;
    settings.listen = endpoint::parse("127.0.0.1:0").value();
    settings.certificate = files.write("certificate", "");
    settings.private_key = files.write("key", "");
    settings.tokens = files.write("tokens", tokens_text("maria", "secret"));
    write_certificate(settings.certificate, settings.private_key);
    fake_backend backend;
    console server(settings, backend);
    const auto where = server.start();
    ASSERT_TRUE(where) << to_string(where.error());

    httplib::SSLClient trusting("127.0.0.1", where->port);
    trusting.set_ca_cert_path(settings.certificate.c_str());
    trusting.enable_server_certificate_verification(false);
    const auto live = trusting.Get("/health/live");
    ASSERT_TRUE(live);
    EXPECT_EQ(live->status, 200);
    const auto signed_in = trusting.Post(
        "/sign-in",
        httplib::MultipartFormDataItems{{"token", "secret", "", ""}});
    EXPECT_NE(signed_in->get_header_value("Set-Cookie").find("; Secure"),
              std::string::npos);

    httplib::SSLClient strict("127.0.0.1", where->port);
    EXPECT_FALSE(strict.Get("/health/live"));
    httplib::Client plain("127.0.0.1", where->port);
    EXPECT_FALSE(plain.Get("/health/live"));
}

TEST(tls, half_of_it_or_a_faulty_file_is_refused)
{
    scratch_folder files;
    fake_backend backend;
    console_settings settings;
    settings.listen = endpoint::parse("127.0.0.1:0").value();
    settings.certificate = files.write("certificate", "");
    EXPECT_FALSE(console(settings, backend).start());
    settings.private_key = files.write("key", "");
    EXPECT_FALSE(console(settings, backend).start());
}

TEST(listening, an_address_in_use_is_an_error)
{
    fake_backend backend;
    console_settings settings;
    settings.listen = endpoint::parse("127.0.0.1:0").value();
    console first(settings, backend);
    settings.listen = first.start().value();
    console second(settings, backend);
    const auto where = second.start();
    ASSERT_FALSE(where);
    EXPECT_EQ(where.error().kind, error_kind::unavailable);
}

} // namespace
} // namespace crowlink
