#include "crowlink/requests/part_assembly.hpp"

#include "crowlink/requests/message_codec.hpp"

#include <algorithm>

namespace crowlink
{

std::size_t part_assembly::add(std::uint32_t part, std::uint32_t parts,
                               std::string_view body)
{
    if (m_bodies.empty())
    {
        m_bodies.resize(parts);
        m_missing = parts;
    }
    if (parts != m_bodies.size() || part >= parts || m_bodies[part])
    {
        return 0;
    }
    m_bodies[part] = std::string(body);
    --m_missing;
    m_bytes += body.size();
    return body.size();
}

std::string part_assembly::take()
{
    std::string body;
    body.reserve(m_bytes);
    for (const std::optional<std::string>& part : m_bodies)
    {
        body += *part;
    }
    m_bodies.clear();
    m_bytes = 0;
    return body;
}

std::uint32_t part_count(std::string_view body)
{
    const std::size_t full = (body.size() + part_body_limit - 1);
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, full / part_body_limit));
}

std::string_view body_slice(std::string_view body, std::uint32_t part)
{
    return body.substr(part * part_body_limit, part_body_limit);
}

} // namespace crowlink
