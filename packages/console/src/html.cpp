#include "html.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

constexpr std::string_view style = R"(:root{color-scheme:light;
--ink:#1c2330;--quiet:#5a6577;--line:#d5dae3;--paper:#fff;--back:#f4f6f9;
--accent:#1a56b0;--good:#1c7043;--bad:#a8261d}
*{box-sizing:border-box}
body{margin:0;background:var(--back);color:var(--ink);
font:16px/1.5 system-ui,"DejaVu Sans",sans-serif}
header{background:var(--ink);color:#fff;display:flex;flex-wrap:wrap;
align-items:center;gap:.4rem 1.2rem;padding:.7rem 1.5rem}
header strong{font-size:1.1rem;margin-right:.6rem}
header a{color:#fff;text-decoration:none;padding:.15rem 0}
header a:hover{text-decoration:underline}
header form{margin:0 0 0 auto;display:flex;gap:.8rem;align-items:center}
main{max-width:60rem;margin:1.5rem auto;padding:0 1.5rem}
h1{font-size:1.5rem;margin:0 0 1rem}h2{font-size:1.1rem;margin:1.6rem 0 .6rem}
section,.card{background:var(--paper);border:1px solid var(--line);
border-radius:6px;padding:1.2rem 1.4rem;margin:0 0 1.2rem}
section h2:first-child{margin-top:0}
label{display:block;font-weight:600;margin:.9rem 0 .25rem}
.hint{color:var(--quiet);font-weight:400;font-size:.9rem}
label.inline{font-weight:400;display:flex;gap:.5rem;align-items:center}
input[type=text],input[type=password],select,textarea{width:100%;
padding:.45rem .6rem;border:1px solid #9aa5b6;border-radius:4px;
background:#fff;color:inherit;font:inherit}
input.short{max-width:12rem}
textarea,code,td.value{font-family:"DejaVu Sans Mono",monospace;
font-size:.9rem}
:focus-visible{outline:3px solid #f0a020;outline-offset:1px}
button,a.button{display:inline-block;background:var(--accent);color:#fff;
border:0;border-radius:4px;padding:.5rem 1.1rem;font:inherit;font-weight:600;
cursor:pointer;text-decoration:none}
button.quiet{background:#fff;color:var(--ink);border:1px solid #9aa5b6;
font-weight:400}
header button.quiet{background:transparent;color:#fff;padding:.2rem .7rem}
.actions{display:flex;gap:.8rem;margin-top:1.3rem;flex-wrap:wrap}
.actions form{margin:0}
table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.4rem .8rem .4rem 0;vertical-align:top;
border-bottom:1px solid var(--line)}
th{font-size:.85rem;color:var(--quiet)}
td{overflow-wrap:anywhere}
td.wide{width:30%}
td label.inline{margin:.4rem 0}
section>form>h2:first-of-type,section>form>label:first-of-type,
section>form>p:first-of-type{margin-top:0}
.notice{border-left:5px solid var(--accent);background:#e9f0fb;
padding:.7rem 1rem;margin:0 0 1.2rem;border-radius:0 4px 4px 0}
.notice.bad{border-color:var(--bad);background:#fbecea}
.notice.good{border-color:var(--good);background:#e8f5ed}
.added{color:var(--good)}.removed{color:var(--bad)}
dl{display:grid;grid-template-columns:max-content 1fr;gap:.3rem 1.5rem;
margin:0}dt{color:var(--quiet)}dd{margin:0})";

constexpr std::string_view frame_start = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width,initial-scale=1">
<link rel="stylesheet" href="/style.css"><title>{} - crowlink</title></head>
<body>)";

constexpr std::string_view navigation = R"(
<header><strong>crowlink</strong><nav aria-label="Matters">
<a href="/">Status</a> &nbsp; <a href="/services">Services</a> &nbsp;
<a href="/forms/places">Places</a> &nbsp; <a href="/forms/drains">Drains</a>
&nbsp; <a href="/forms/document">Document</a> &nbsp;
<a href="/history">History</a></nav>
<form method="post" action="/sign-out" enctype="multipart/form-data">{}
<span>{}</span><button class="quiet">Sign out</button></form></header>)";

} // namespace

std::string escape(std::string_view text)
{
    std::string clean;
    clean.reserve(text.size());
    for (const char letter : text)
    {
        switch (letter)
        {
        case '&':
            clean += "&amp;";
            break;
        case '<':
            clean += "&lt;";
            break;
        case '>':
            clean += "&gt;";
            break;
        case '"':
            clean += "&quot;";
            break;
        case '\'':
            clean += "&#39;";
            break;
        default:
            clean += letter;
        }
    }
    return clean;
}

std::string open_page(std::string_view title, std::string_view body)
{
    return fmt::format(frame_start, escape(title)) +
           fmt::format("<main><h1>{}</h1>{}</main></body></html>\n",
                       escape(title), body);
}

std::string page(const form_session& session, std::string_view title,
                 std::string_view body)
{
    return fmt::format(frame_start, escape(title)) +
           fmt::format(navigation,
                       hidden_input("form_token", session.form_token),
                       escape(session.operator_name)) +
           fmt::format("<main><h1>{}</h1>{}</main></body></html>\n",
                       escape(title), body);
}

std::string sign_in_page(std::string_view message)
{
    const auto told = message.empty() ? std::string() : notice("bad", message);
    return open_page("Sign in", told + R"(<section>
<form method="post" action="/sign-in" enctype="multipart/form-data">
<label for="token">Operator's token</label>
<input type="password" id="token" name="token" autocomplete="current-password"
 required autofocus>
<div class="actions"><button>Sign in</button></div></form></section>)");
}

std::string error_page(std::string_view message)
{
    return open_page("Not possible",
                     notice("bad", message) +
                         R"(<p><a href="/">Back to the status</a></p>)");
}

std::string notice(std::string_view kind, std::string_view text)
{
    return fmt::format(R"(<p class="notice {}" role="alert">{}</p>)", kind,
                       escape(text));
}

std::string hidden_input(std::string_view name, std::string_view value)
{
    return fmt::format(R"(<input type="hidden" name="{}" value="{}">)",
                       escape(name), escape(value));
}

std::string_view style_sheet()
{
    return style;
}

} // namespace crowlink::internal
