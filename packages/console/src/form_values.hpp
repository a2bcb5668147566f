#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace crowlink::internal
{

// One field of a form and what was typed into it.
struct form_field
{
    std::string name;
    std::string value;

    friend bool operator==(const form_field&, const form_field&) = default;
};

// What an operator typed into a form, in order.
class form_values
{
public:
    void add(std::string name, std::string value)
    {
        m_fields.push_back({std::move(name), std::move(value)});
    }

    bool has(std::string_view name) const { return find(name) != nullptr; }

    // The value of a field; empty if it is absent.
    std::string get(std::string_view name) const
    {
        const auto* const field = find(name);
        return field == nullptr ? std::string() : field->value;
    }

    const std::vector<form_field>& fields() const { return m_fields; }

    friend bool operator==(const form_values&, const form_values&) = default;

private:
    const form_field* find(std::string_view name) const
    {
        for (const auto& field : m_fields)
        {
            if (field.name == name)
            {
                return &field;
            }
        }
        return nullptr;
    }

    std::vector<form_field> m_fields;
};

} // namespace crowlink::internal
