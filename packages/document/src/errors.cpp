#include "crowlink/document/document_error.hpp"
#include "crowlink/document/document_errors.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <tuple>

namespace crowlink
{

std::string document_error::to_string() const
{
    const std::string where = path.empty() ? "document" : path;
    return fmt::format("{}: found {}, must be {}", where, found, rule);
}

namespace
{

bool path_before(const document_error& first, const document_error& second)
{
    return std::tie(first.path, first.found, first.rule) <
           std::tie(second.path, second.found, second.rule);
}

} // namespace

document_errors::document_errors(std::vector<document_error> items)
    : m_items(std::move(items))
{
    std::sort(m_items.begin(), m_items.end(), path_before);
    m_items.erase(std::unique(m_items.begin(), m_items.end()), m_items.end());
    if (m_items.size() > capacity)
    {
        m_left_out = m_items.size() - capacity;
        m_items.resize(capacity);
    }
}

std::string document_errors::to_text() const
{
    std::string text;
    for (const auto& item : m_items)
    {
        text += item.to_string() + "\n";
    }
    if (m_left_out > 0)
    {
        text += fmt::format("and {} more\n", m_left_out);
    }
    return text;
}

std::string document_errors::to_json() const
{
    auto items = nlohmann::json::array();
    for (const auto& item : m_items)
    {
        items.push_back(
            {{"path", item.path}, {"found", item.found}, {"rule", item.rule}});
    }
    return nlohmann::json{{"errors", items}, {"left_out", m_left_out}}.dump();
}

} // namespace crowlink
