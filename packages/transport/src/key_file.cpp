#include "crowlink/transport/key_file.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

namespace crowlink
{

namespace
{

using nlohmann::json;

constexpr std::size_t z85_length = 40;
constexpr std::size_t largest_file = 4096;
constexpr mode_t owner_only = 0600;
constexpr mode_t mode_mask = 0777;

tl::unexpected<error> failed(const std::string& file, const char* what)
{
    return fail(error_kind::storage, file,
                fmt::format("{}: {}", what, std::strerror(errno)));
}

// Owns a descriptor for the time of one function.
class descriptor
{
public:
    explicit descriptor(int handle) : m_handle(handle) {}
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor()
    {
        if (m_handle >= 0)
        {
            ::close(m_handle);
        }
    }

    int get() const { return m_handle; }

private:
    int m_handle;
};

result<void> write_new(const std::string& file, const json& value)
{
    const int flags = O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW;
    const descriptor opened(::open(file.c_str(), flags, owner_only));
    if (opened.get() < 0)
    {
        return failed(file, "cannot be made");
    }
    const std::string text = value.dump(2) + "\n";
    const ssize_t written = ::write(opened.get(), text.data(), text.size());
    if (written != static_cast<ssize_t>(text.size()) ||
        ::fsync(opened.get()) != 0)
    {
        return failed(file, "cannot be written");
    }
    return {};
}

// Checks what was opened, not its name, so that it can't be exchanged between.
result<void> check_owner_and_mode(const std::string& file, int handle)
{
    struct stat found = {};
    if (::fstat(handle, &found) != 0)
    {
        return failed(file, "cannot be examined");
    }
    const unsigned mode = found.st_mode & mode_mask;
    if (!S_ISREG(found.st_mode) || mode != owner_only ||
        found.st_uid != ::geteuid())
    {
        return fail(error_kind::forbidden, file,
                    fmt::format("found mode {:04o}, owner {}; allowed: a file "
                                "of mode 0600 that belongs to this user",
                                mode, found.st_uid));
    }
    return {};
}

result<json> read_checked(const std::string& file)
{
    const int flags = O_RDONLY | O_CLOEXEC | O_NONBLOCK;
    const descriptor opened(::open(file.c_str(), flags));
    if (opened.get() < 0)
    {
        return failed(file, "cannot be read");
    }
    const result<void> checked = check_owner_and_mode(file, opened.get());
    if (!checked)
    {
        return tl::unexpected(checked.error());
    }
    std::array<char, largest_file> buffer{};
    const ssize_t size = ::read(opened.get(), buffer.data(), buffer.size());
    if (size < 0)
    {
        return failed(file, "cannot be read");
    }
    constexpr bool throws = false;
    constexpr bool ignore_comments = true;
    json parsed = json::parse(buffer.data(), buffer.data() + size, nullptr,
                              throws, ignore_comments);
    if (!parsed.is_object())
    {
        return fail(error_kind::invalid, file, "is not a JSON object");
    }
    return parsed;
}

// A text field of a given length. What was found is secret and not repeated.
result<std::string> read_text(const std::string& file, const json& value,
                              const char* name, std::size_t length)
{
    const auto found = value.find(name);
    if (found == value.end() || !found->is_string() ||
        found->get_ref<const std::string&>().size() != length)
    {
        return fail(error_kind::invalid, file,
                    fmt::format("/{}: missing or malformed; allowed: {} "
                                "characters",
                                name, length));
    }
    return found->get<std::string>();
}

} // namespace

result<curve_key_pair> curve_key_pair::generate()
{
    std::array<char, z85_length + 1> public_key{};
    std::array<char, z85_length + 1> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
    {
        return fail(error_kind::unavailable, "", "libzmq has no CURVE support");
    }
    return curve_key_pair{public_key.data(), secret_key.data()};
}

packet_key packet_key::generate(std::uint8_t number)
{
    packet_key key;
    key.number = number;
    randombytes_buf(key.bytes.data(), key.bytes.size());
    return key;
}

result<void> write_key_file(const std::string& file, const curve_key_pair& pair)
{
    return write_new(file, json{{"public_key", pair.public_key},
                                {"secret_key", pair.secret_key}});
}

result<void> write_key_file(const std::string& file, const packet_key& key)
{
    std::array<char, packet_key::size * 2 + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), key.bytes.data(),
                   key.bytes.size());
    return write_new(
        file, json{{"number", key.number}, {"packet_key", digits.data()}});
}

result<curve_key_pair> read_curve_key_file(const std::string& file)
{
    const result<json> value = read_checked(file);
    if (!value)
    {
        return tl::unexpected(value.error());
    }
    const auto public_key = read_text(file, *value, "public_key", z85_length);
    if (!public_key)
    {
        return tl::unexpected(public_key.error());
    }
    const auto secret_key = read_text(file, *value, "secret_key", z85_length);
    if (!secret_key)
    {
        return tl::unexpected(secret_key.error());
    }
    std::array<char, z85_length + 1> derived{};
    if (zmq_curve_public(derived.data(), secret_key->c_str()) != 0 ||
        *public_key != derived.data())
    {
        return fail(error_kind::invalid, file,
                    "the public key does not belong to the secret key");
    }
    return curve_key_pair{*public_key, *secret_key};
}

result<packet_key> read_packet_key_file(const std::string& file)
{
    const result<json> value = read_checked(file);
    if (!value)
    {
        return tl::unexpected(value.error());
    }
    const auto number = value->find("number");
    constexpr std::uint64_t largest_number = 255;
    if (number == value->end() || !number->is_number_unsigned() ||
        number->get<std::uint64_t>() > largest_number)
    {
        return fail(error_kind::invalid, file,
                    "/number: missing or malformed; allowed: 0 to 255");
    }
    const auto digits =
        read_text(file, *value, "packet_key", packet_key::size * 2);
    if (!digits)
    {
        return tl::unexpected(digits.error());
    }
    packet_key key;
    key.number = number->get<std::uint8_t>();
    std::size_t decoded = 0;
    sodium_hex2bin(key.bytes.data(), key.bytes.size(), digits->data(),
                   digits->size(), nullptr, &decoded, nullptr);
    if (decoded != packet_key::size)
    {
        return fail(error_kind::invalid, file,
                    "/packet_key: malformed; allowed: 32 hexadecimal digits");
    }
    return key;
}

} // namespace crowlink
