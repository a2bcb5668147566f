#include "api_json.hpp"
#include "crowlink/document/document_difference.hpp"
#include "form_handlers.hpp"
#include "html.hpp"

#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

// Rows that a page shows at most.
constexpr std::size_t max_rows = 200;
constexpr std::size_t history_rows = 100;

std::string age_text(duration age)
{
    return fmt::format("{:.1f} s ago", to_seconds(age));
}

std::string row(std::initializer_list<std::string> cells)
{
    std::string html = "<tr>";
    for (const auto& cell : cells)
    {
        html += "<td>" + escape(cell) + "</td>";
    }
    return html + "</tr>";
}

std::string table_start(std::initializer_list<std::string_view> heads)
{
    std::string html = "<table><thead><tr>";
    for (const auto head : heads)
    {
        html += fmt::format("<th>{}</th>", head);
    }
    return html + "</tr></thead><tbody>";
}

std::string table_end(std::size_t shown, std::size_t all)
{
    std::string html = "</tbody></table>";
    if (all > shown)
    {
        html += fmt::format(R"(<p class="hint">{} more are not shown.</p>)",
                            all - shown);
    }
    return html;
}

std::string summary_html(const status_report& report)
{
    const auto leader =
        report.leader.value().empty() ? "none known" : report.leader.value();
    return fmt::format("<section><dl><dt>Version</dt><dd>{}, confirmed {}</dd>"
                       "<dt>This host</dt><dd>{}</dd><dt>Leader</dt><dd>{}</dd>"
                       "<dt>Changes</dt><dd>{}</dd></dl></section>",
                       report.version.value(), age_text(report.age),
                       escape(report.host.value()), escape(leader),
                       report.quorum ? "can be applied"
                                     : "not possible: no quorum");
}

std::string upstreams_html(const status_report& report)
{
    std::string html =
        "<section><h2>Upstreams</h2>" +
        table_start({"Name", "Service", "Place", "State", "Last heard"});
    std::size_t shown = 0;
    for (const auto& item : report.upstreams)
    {
        if (++shown > max_rows)
        {
            break;
        }
        html += row({item.id.value(), std::to_string(item.service.value()),
                     item.where.value(), std::string(to_string(item.state)),
                     age_text(item.age)});
    }
    return html + table_end(max_rows, report.upstreams.size()) + "</section>";
}

std::string evacuations_html(const status_report& report)
{
    if (report.evacuations.empty())
    {
        return "";
    }
    std::string html = "<section><h2>Evacuated data centres</h2>" +
                       table_start({"Data centre", "Ordered by", "At"});
    for (const auto& item : report.evacuations)
    {
        const auto at = static_cast<std::time_t>(item.ordered_at_s);
        html += row({item.where.value(), item.author,
                     fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(at))});
    }
    const std::size_t count = report.evacuations.size();
    return html + table_end(count, count) + "</section>";
}

std::string nodes_html(const status_report& report)
{
    std::string html = "<section><h2>Nodes</h2>" +
                       table_start({"Host", "Role", "Version", "Last heard"});
    std::size_t shown = 0;
    for (const auto& item : report.nodes)
    {
        if (++shown > max_rows)
        {
            break;
        }
        html += row({item.host.value(), item.role,
                     std::to_string(item.version.value()), age_text(item.age)});
    }
    return html + table_end(max_rows, report.nodes.size()) + "</section>";
}

std::string service_row(const service& item)
{
    std::string addresses;
    for (const auto& address : item.addresses)
    {
        addresses += (addresses.empty() ? "" : " ") + address.to_string();
    }
    const auto id = item.id.value();
    const auto name = escape(item.name);
    return fmt::format(
        R"(<tr><td>{0}</td><td>{1}</td><td>{2}</td><td>{3}</td>)"
        R"(<td><a href="/forms/service?id={0}" )"
        R"(aria-label="Service {1}">Name and addresses</a><br>)"
        R"(<a href="/forms/sharing?id={0}" )"
        R"(aria-label="Limits and sharing of {1}">Limits and sharing</a>)"
        R"(</td></tr>)",
        id, name, item.protocol == transport::tcp ? "tcp" : "udp",
        escape(addresses));
}

std::string filter_html(const std::string& name)
{
    return fmt::format(
        R"(<form method="get" action="/services"><label for="name">Name )"
        R"(<span class="hint">shows those that contain it</span></label>)"
        R"(<input type="text" class="short" id="name" name="name" )"
        R"(value="{}"> <button class="quiet">Filter</button></form>)",
        escape(name));
}

} // namespace

void form_handlers::get_status(response_type& response,
                               const form_session& session)
{
    const auto report = m_backend.status();
    if (!report)
    {
        return show_error(response, session, report.error());
    }
    response.set_content(
        page(session, "Status",
             summary_html(*report) + evacuations_html(*report) +
                 upstreams_html(*report) + nodes_html(*report)),
        html_type);
}

void form_handlers::get_services(const request_type& request,
                                 response_type& response,
                                 const form_session& session)
{
    const auto current = m_backend.document();
    if (!current)
    {
        return show_error(response, session, current.error());
    }
    const auto name = request.get_param_value("name");
    std::string rows;
    std::size_t found = 0;
    for (const auto& item : current->document.services)
    {
        if (item.name.find(name) != std::string::npos && ++found <= max_rows)
        {
            rows += service_row(item);
        }
    }
    const auto body =
        "<section>" +
        (current->document.services.size() > max_rows || !name.empty()
             ? filter_html(name)
             : std::string()) +
        table_start({"Number", "Name", "Protocol", "Addresses", "Forms"}) +
        rows + table_end(max_rows, found) +
        R"(<div class="actions"><a class="button" href="/forms/service">)"
        R"(Add a service</a></div></section>)";
    response.set_content(page(session, "Services", body), html_type);
}

void form_handlers::get_history(response_type& response,
                                const form_session& session)
{
    const auto entries = m_backend.history(history_rows);
    if (!entries)
    {
        return show_error(response, session, entries.error());
    }
    std::string body = "<section>" + table_start({"Version", "Accepted (UTC)",
                                                  "By", "Operation"});
    for (const auto& entry : *entries)
    {
        const auto when = static_cast<std::time_t>(entry.accepted_at_s);
        body += row({std::to_string(entry.version.value()),
                     fmt::format("{:%Y-%m-%d %H:%M:%S}", fmt::gmtime(when)),
                     entry.author, entry.operation.value()});
    }
    body += table_end(entries->size(), entries->size()) + "</section>";
    response.set_content(page(session, "History", body), html_type);
}

} // namespace crowlink::internal
