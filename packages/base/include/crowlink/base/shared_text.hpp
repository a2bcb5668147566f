#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace crowlink
{

// An immutable text that any number of values hold without a copy. Texts
// compare by content.
class shared_text
{
public:
    shared_text() = default;
    shared_text(std::string text)
        : m_text(std::make_shared<const std::string>(std::move(text)))
    {
    }
    shared_text(const char* text) : shared_text(std::string(text)) {}

    const std::string& str() const
    {
        static const std::string none;
        return m_text == nullptr ? none : *m_text;
    }
    std::size_t size() const { return str().size(); }
    bool empty() const { return str().empty(); }

    friend bool operator==(const shared_text& one, const shared_text& two)
    {
        return one.m_text == two.m_text || one.str() == two.str();
    }
    friend std::strong_ordering operator<=>(const shared_text& one,
                                            const shared_text& two)
    {
        return one.str() <=> two.str();
    }

private:
    std::shared_ptr<const std::string> m_text;
};

} // namespace crowlink
