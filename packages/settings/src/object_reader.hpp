#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crowlink::internal
{

// A name in the file and the value that it stands for.
template <class Value>
struct choice
{
    std::string_view name;
    Value value;
};

// Reads the fields of one JSON object and collects what is wrong with them.
// Each field that is asked for becomes known; `finish` reports the others.
class object_reader
{
public:
    object_reader(const nlohmann::json& value, std::string file,
                  std::string path, std::vector<error>& errors);

    // Whether the field is there; it is known from then on.
    bool has(std::string_view name) { return find(name) != nullptr; }

    // A text that is not empty; an error if it is missing.
    std::string text(std::string_view name);
    // As `text`, or an empty string if the field is missing.
    std::string optional_text(std::string_view name);
    bool flag(std::string_view name, bool otherwise);
    std::uint32_t number(std::string_view name, std::uint32_t least,
                         std::uint32_t most);
    std::uint32_t number(std::string_view name, std::uint32_t least,
                         std::uint32_t most, std::uint32_t otherwise);
    // Any number between the two; empty if the field is missing.
    std::optional<double> optional_decimal(std::string_view name, double least,
                                           double most);
    // A field that is refused yields a loopback address without a port, which
    // no rule across fields refuses once more.
    endpoint address(std::string_view name);
    // Texts of a list of at least `least` elements.
    std::vector<std::string> texts(std::string_view name, std::size_t least);
    // Whole numbers of a list; a missing field is an empty list.
    std::vector<std::uint32_t> numbers(std::string_view name,
                                       std::uint32_t least, std::uint32_t most);
    std::vector<endpoint> addresses(std::string_view name, std::size_t least);

    template <class Value, std::size_t Count>
    Value one_of(std::string_view name, const choice<Value> (&choices)[Count],
                 Value otherwise)
    {
        const nlohmann::json* found = find(name);
        if (found == nullptr)
        {
            return otherwise;
        }
        std::string allowed;
        for (const choice<Value>& option : choices)
        {
            if (found->is_string() && *found == std::string(option.name))
            {
                return option.value;
            }
            allowed += allowed.empty() ? "" : " or ";
            allowed += '"' + std::string(option.name) + '"';
        }
        report(name, *found, allowed);
        return otherwise;
    }

    // Reads a nested object by `read(object_reader&)`; missing is an error.
    template <class Read>
    auto object(std::string_view name, Read read)
    {
        static const nlohmann::json nothing = nlohmann::json::object();
        const nlohmann::json* found = find(name);
        if (found == nullptr)
        {
            missing(name, "an object");
        }
        return nested(found == nullptr ? nothing : *found, path_of(name), read);
    }

    // Reads a list of objects; a missing field is an empty list.
    template <class Read>
    auto objects(std::string_view name, Read read)
    {
        std::vector<decltype(object(name, read))> values;
        const nlohmann::json* found = find(name);
        if (found != nullptr && !found->is_array())
        {
            report(name, *found, "a list of objects");
            found = nullptr;
        }
        for (std::size_t at = 0; found != nullptr && at < found->size(); ++at)
        {
            const std::string path = path_of(name) + '/' + std::to_string(at);
            values.push_back(nested((*found)[at], path, read));
        }
        return values;
    }

    // Adds an error at a field of this object.
    void refuse(std::string_view name, std::string message);

    // Reports every field that nobody asked for, with those that are allowed.
    void finish();

private:
    template <class Read>
    auto nested(const nlohmann::json& value, const std::string& path, Read read)
    {
        object_reader reader(value, m_file, path, m_errors);
        auto result = read(reader);
        reader.finish();
        return result;
    }

    const nlohmann::json* find(std::string_view name);
    std::string path_of(std::string_view name) const;
    void missing(std::string_view name, std::string_view allowed);
    void report(std::string_view name, const nlohmann::json& found,
                std::string_view allowed);
    void report_at(const std::string& path, const nlohmann::json& found,
                   std::string_view allowed);

    const nlohmann::json& m_value;
    std::string m_file;
    std::string m_path;
    std::vector<error>& m_errors;
    std::set<std::string, std::less<>> m_known;
    bool m_is_object;
};

} // namespace crowlink::internal
