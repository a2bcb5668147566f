#include "crowlink/transport/zap_authenticator.hpp"

#include <array>
#include <fmt/format.h>
#include <zmq_addon.hpp>

namespace crowlink
{

namespace
{

constexpr const char* zap_endpoint = "inproc://zeromq.zap.01";
constexpr const char* zap_version = "1.0";
constexpr std::size_t raw_key_length = 32;
constexpr std::size_t z85_length = 40;
constexpr char role_separator = '+';

// The frames of a request, by RFC 27.
constexpr std::size_t request_id_frame = 1;
constexpr std::size_t domain_frame = 2;
constexpr std::size_t mechanism_frame = 5;
constexpr std::size_t key_frame = 6;

std::string to_z85(const zmq::message_t& raw)
{
    if (raw.size() != raw_key_length)
    {
        return {};
    }
    std::array<char, z85_length + 1> text{};
    zmq_z85_encode(text.data(), raw.data<std::uint8_t>(), raw.size());
    return text.data();
}

std::string unique_address(const void* owner)
{
    return fmt::format("inproc://crowlink.zap.stop.{}", owner);
}

// Whether one of the domain's roles is allowed.
bool allows_domain(const key_grant& grant, std::string_view domain)
{
    while (!domain.empty())
    {
        const std::size_t end = domain.find(role_separator);
        const std::string_view name = domain.substr(0, end);
        for (const node_role role : grant.roles)
        {
            if (to_string(role) == name)
            {
                return true;
            }
        }
        domain.remove_prefix(end == std::string_view::npos ? domain.size()
                                                           : end + 1);
    }
    return false;
}

} // namespace

zap_authenticator::zap_authenticator(zmq::context_t& context, key_grants grants)
    : m_questions(context, zmq::socket_type::rep)
    , m_stop_sender(context, zmq::socket_type::pair)
    , m_stop_receiver(context, zmq::socket_type::pair)
    , m_grants(std::make_shared<const key_grants>(std::move(grants)))
{
    m_questions.set(zmq::sockopt::linger, 0);
    m_questions.bind(zap_endpoint);
    m_stop_receiver.bind(unique_address(this));
    m_stop_sender.connect(unique_address(this));
    m_thread = std::thread([this] { run(); });
}

zap_authenticator::~zap_authenticator()
{
    m_stop_sender.send(zmq::message_t(), zmq::send_flags::dontwait);
    m_thread.join();
}

void zap_authenticator::replace(key_grants grants)
{
    std::atomic_store(&m_grants,
                      std::make_shared<const key_grants>(std::move(grants)));
}

std::shared_ptr<const key_grants> zap_authenticator::grants() const
{
    return std::atomic_load(&m_grants);
}

zap_authenticator::counts zap_authenticator::counted() const
{
    return counts{m_admitted, m_strangers, m_wrong_role, m_revoked};
}

void zap_authenticator::run()
{
    std::array<zmq::pollitem_t, 2> items{
        zmq::pollitem_t{m_questions.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{m_stop_receiver.handle(), 0, ZMQ_POLLIN, 0}};
    while (true)
    {
        zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
        if ((items[1].revents & ZMQ_POLLIN) != 0)
        {
            return;
        }
        std::vector<zmq::message_t> request;
        if (zmq::recv_multipart(m_questions, std::back_inserter(request)))
        {
            answer(request);
        }
    }
}

void zap_authenticator::answer(const std::vector<zmq::message_t>& request)
{
    const bool whole = request.size() > key_frame &&
                       request[mechanism_frame].to_string() == "CURVE";
    const std::string key = whole ? to_z85(request[key_frame]) : std::string();
    const decision made = whole ? decide(key, request[domain_frame].to_string())
                                : decision::stranger;
    count(made);
    const bool admitted = made == decision::admitted;
    const std::string id = request.size() > request_id_frame
                               ? request[request_id_frame].to_string()
                               : std::string();
    const std::array<std::string, 6> reply{zap_version,
                                           id,
                                           admitted ? "200" : "400",
                                           admitted ? "OK" : "refused",
                                           admitted ? key : std::string(),
                                           std::string()};
    for (std::size_t at = 0; at < reply.size(); ++at)
    {
        const auto flags = at + 1 < reply.size() ? zmq::send_flags::sndmore
                                                 : zmq::send_flags::none;
        m_questions.send(zmq::buffer(reply[at]), flags);
    }
}

zap_authenticator::decision zap_authenticator::decide(const std::string& key,
                                                      const std::string& domain)
{
    const std::shared_ptr<const key_grants> known = grants();
    const key_grant* grant = known->find(key);
    if (grant == nullptr)
    {
        return decision::stranger;
    }
    if (grant->revoked)
    {
        return decision::revoked;
    }
    return allows_domain(*grant, domain) ? decision::admitted
                                         : decision::wrong_role;
}

void zap_authenticator::count(decision made)
{
    switch (made)
    {
    case decision::admitted:
        ++m_admitted;
        break;
    case decision::stranger:
        ++m_strangers;
        break;
    case decision::wrong_role:
        ++m_wrong_role;
        break;
    case decision::revoked:
        ++m_revoked;
        break;
    }
}

} // namespace crowlink
