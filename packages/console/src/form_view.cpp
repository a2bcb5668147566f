#include "form_view.hpp"

#include "form_edit.hpp"
#include "html.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

// Fields are added to it in order.
class fields_html
{
public:
    explicit fields_html(const form_values& values) : m_values(values) {}

    std::string take() { return std::move(m_html); }

    void hidden(std::string_view name)
    {
        m_html += hidden_input(name, m_values.get(name));
    }

    void label(std::string_view name, std::string_view text,
               std::string_view hint)
    {
        m_html += fmt::format(R"(<label for="{0}">{1} <span class="hint">)"
                              R"({2}</span></label>)",
                              name, text, hint);
    }

    void line(std::string_view name, std::string_view text,
              std::string_view hint, std::string_view css)
    {
        label(name, text, hint);
        m_html += fmt::format(R"(<input type="text" class="{0}" id="{1}" )"
                              R"(name="{1}" value="{2}">)",
                              css, name, escape(m_values.get(name)));
    }

    void area(std::string_view name, std::string_view text,
              std::string_view hint, int rows)
    {
        label(name, text, hint);
        // A line break right after the tag is not part of the value.
        m_html += fmt::format("<textarea id=\"{0}\" name=\"{0}\" rows=\"{1}\" "
                              "spellcheck=\"false\">\n{2}</textarea>",
                              name, rows, escape(m_values.get(name)));
    }

    void choice(std::string_view name, std::string_view text,
                std::string_view hint, std::string_view first,
                std::string_view second)
    {
        label(name, text, hint);
        m_html += fmt::format(R"(<select id="{0}" name="{0}">)", name);
        for (const auto option : {first, second})
        {
            m_html +=
                fmt::format("<option{1}>{0}</option>", option,
                            m_values.get(name) == option ? " selected" : "");
        }
        m_html += "</select>";
    }

    void check(std::string_view name, std::string_view text)
    {
        m_html += fmt::format(
            R"(<label class="inline"><input type="checkbox" name="{0}" )"
            R"(value="yes"{1}> {2}</label>)",
            name, m_values.get(name) == "yes" ? " checked" : "", text);
    }

    // A cell with a line of its own, named for screen readers.
    void cell(const std::string& name, std::string_view text)
    {
        m_html +=
            fmt::format(R"(<td><input type="text" name="{0}" value="{2}" )"
                        R"(aria-label="{1}"></td>)",
                        name, text, escape(m_values.get(name)));
    }

    void raw(std::string_view html) { m_html += html; }

private:
    const form_values& m_values;
    std::string m_html;
};

void add_service(fields_html& html, const form_values& values)
{
    const bool fresh = values.get("new") == "yes";
    html.hidden("new");
    if (fresh)
    {
        html.line("id", "Number",
                  "from 1; never used before, and kept for good", "short");
    }
    else
    {
        html.hidden("id");
    }
    html.line("name", "Name", "without spaces, unique", "");
    html.choice("protocol", "Protocol", "", "udp", "tcp");
    html.area("addresses", "Addresses",
              "one a line, such as 192.0.2.1:80 or [2001:db8::1]:80", 4);
    if (!fresh)
    {
        html.raw("<br>");
        html.check("remove", "Remove this service");
    }
}

void add_kinds(fields_html& html, const form_values& values)
{
    html.raw(R"(<h2>Kinds of request</h2><p class="hint">Leave a name empty )"
             R"(to drop the row. The weight is a request's share of a slot's )"
             R"(work, relative to the other kinds.</p><table><thead><tr>)"
             R"(<th>Name</th><th>Weight</th><th>Idempotent</th></tr></thead>)"
             R"(<tbody>)");
    for (std::size_t row = 0; values.has(row_field("kind_name", row)); ++row)
    {
        html.raw("<tr>");
        html.cell(row_field("kind_name", row), "Name of the kind");
        html.cell(row_field("kind_weight", row), "Weight");
        html.raw("<td>");
        html.check(row_field("kind_idempotent", row), "may run twice");
        html.raw("</td></tr>");
    }
    html.raw("</tbody></table>");
}

void add_sharing(fields_html& html, const form_values& values)
{
    html.hidden("id");
    html.hidden("name");
    html.raw("<h2>Limits of one upstream</h2>");
    html.line("slots", "Slots", "requests that run at the same time", "short");
    html.line("connections", "Connections",
              "flows that are open at the same time", "short");
    html.raw("<h2>Sharing</h2>");
    html.choice("goal", "Goal",
                "balance spreads the load as evenly as can be, continuity "
                "never risks an open flow",
                "balance", "continuity");
    html.line("candidates", "Candidates",
              "1 to 4 upstreams are asked in turn to admit a flow", "short");
    html.line("cold_start_s", "Cold start",
              "seconds until a started upstream has its full share", "short");
    html.line("silent_after_s", "Silent after",
              "seconds without answers until a flow is held to be lost; 0 is "
              "never",
              "short");
    add_kinds(html, values);
}

void add_places(fields_html& html, const form_values& values)
{
    html.raw(R"(<p class="hint">Names of places, separated by spaces. Clear )"
             R"(a row to drop its region.</p><table><thead><tr>)"
             R"(<th>Region</th><th>Places</th></tr></thead><tbody>)");
    for (std::size_t row = 0; values.has(row_field("region", row)); ++row)
    {
        html.raw("<tr>");
        html.cell(row_field("region", row), "Region");
        html.cell(row_field("places", row), "Places of the region");
        html.raw("</tr>");
    }
    html.raw("</tbody></table>");
}

std::string value_cell(const std::string& value, std::string_view css)
{
    return fmt::format(R"(<td class="value wide {}">{}</td>)", css,
                       value.empty() ? "&ndash;" : escape(value));
}

} // namespace

std::string form_title(form_kind kind, const form_values& values)
{
    switch (kind)
    {
    case form_kind::service:
        return values.get("new") == "yes" ? "New service"
                                          : "Service " + values.get("id");
    case form_kind::sharing:
        return "Limits and sharing of " + values.get("name");
    case form_kind::places:
        return "Places";
    case form_kind::drains:
        return "Drains";
    case form_kind::document:
        return "Document";
    }
    return "";
}

std::string form_fields_html(form_kind kind, const form_values& values)
{
    fields_html html(values);
    constexpr int drain_rows = 10;
    constexpr int document_rows = 28;
    switch (kind)
    {
    case form_kind::service:
        add_service(html, values);
        break;
    case form_kind::sharing:
        add_sharing(html, values);
        break;
    case form_kind::places:
        add_places(html, values);
        break;
    case form_kind::drains:
        html.area("drains", "Drained upstreams",
                  "one a line; they keep their flows and take no new one",
                  drain_rows);
        break;
    case form_kind::document:
        html.area("document", "The whole document",
                  "JSON; comments are allowed and not kept", document_rows);
        break;
    }
    return html.take();
}

std::string hidden_values(const form_values& values)
{
    std::string html;
    for (const auto& field : values.fields())
    {
        html += hidden_input(field.name, field.value);
    }
    return html;
}

std::string difference_table(const document_difference& difference)
{
    std::string html = R"(<table><thead><tr><th>Path</th><th>Before</th>)"
                       R"(<th>After</th></tr></thead><tbody>)";
    for (const auto& change : difference.changes())
    {
        html +=
            fmt::format(R"(<tr><td><code>{}</code></td>)", escape(change.path));
        html += value_cell(change.before, "removed");
        html += value_cell(change.after, "added") + "</tr>";
    }
    return html + "</tbody></table>";
}

std::string error_list(const document_errors& errors)
{
    std::string html = R"(<div class="notice bad" role="alert">)"
                       R"(<strong>Not valid, nothing was changed.</strong>)"
                       R"(<table><thead><tr><th>Path</th><th>Found</th>)"
                       R"(<th>Must be</th></tr></thead><tbody>)";
    for (const auto& item : errors.items())
    {
        html += fmt::format(
            R"(<tr><td><code>{}</code></td><td class="value">{}</td>)"
            R"(<td>{}</td></tr>)",
            escape(item.path), escape(item.found), escape(item.rule));
    }
    html += "</tbody></table>";
    if (errors.left_out() > 0)
    {
        html += fmt::format("<p>and {} more</p>", errors.left_out());
    }
    return html + "</div>";
}

} // namespace crowlink::internal
