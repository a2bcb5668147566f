#include "control/document_thread.hpp"

#include "control/document_routes.hpp"
#include "crowlink/document/document_reader.hpp"

#include <utility>

namespace crowlink::internal
{

namespace
{

// Null if it can't be read.
known_documents::document_pointer read_text(const shared_text& text,
                                            std::string& errors)
{
    checked_document read = read_committed_document(text.str());
    if (!read)
    {
        errors = read.error().to_text();
        return nullptr;
    }
    return std::make_shared<const system_document>(*std::move(read));
}

} // namespace

document_thread::document_thread(const wake_event& wake)
    : m_reader(wake, [this](committed_document wanted)
               { return carry_out(std::move(wanted)); })
{
}

document_thread::read_document
document_thread::carry_out(committed_document wanted)
{
    const steady_clock_source clock;
    const time_point begun = clock.now();
    const document_turns::turn turn = m_turns.wait_first();
    const time_point free = clock.now();
    read_document done;
    known_documents::document_pointer document = m_known.take(wanted.text);
    if (document == nullptr)
    {
        document = read_text(wanted.text, done.errors);
    }
    if (document != nullptr)
    {
        m_last = make_publication(wanted.version, *document, m_last.get(),
                                  to_former_services(wanted.former));
        done.applied = applied_document{wanted.version, document, m_last};
    }
    done.committed = std::move(wanted);
    done.waited = free - begun;
    done.took = clock.now() - begun;
    return done;
}

} // namespace crowlink::internal
