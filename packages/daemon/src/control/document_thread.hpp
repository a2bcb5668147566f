#pragma once

#include "control/applied_document.hpp"
#include "control/known_documents.hpp"
#include "crowlink/base/shared_text.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/replication/route_history.hpp"
#include "shared/document_turns.hpp"
#include "shared/worker_thread.hpp"

#include <optional>
#include <string>

namespace crowlink::internal
{

// Reads committed documents and works out what nodes are told of them, on a
// thread of its own: this takes time that grows with the document, and the
// control thread must send heartbeats meanwhile. Of the documents that wait
// only the newest is read, since it alone will be in force.
class document_thread
{
public:
    struct committed_document
    {
        config_version version;
        operation_id operation;
        std::string operator_name;
        shared_text text;
        // Where its addresses led before.
        replication::route_history::former_routes former{};
    };

    struct read_document
    {
        committed_document committed;
        // Without a document if it can't be read.
        applied_document applied;
        std::string errors;
        // For its turn, which is a part of the time that it took.
        duration waited{};
        duration took{};
    };

    // Documents that were read wake the event's thread.
    explicit document_thread(const wake_event& wake);

    void read(committed_document wanted)
    {
        m_reader.request(std::move(wanted));
    }
    std::optional<read_document> next() { return m_reader.next(); }

    // Whoever reads a whole document in this process takes a turn first.
    document_turns& turns() { return m_turns; }
    known_documents& known() { return m_known; }

private:
    read_document carry_out(committed_document wanted);

    document_turns m_turns;
    known_documents m_known;
    // Used by the thread alone: what the next publication is compared to.
    publication_pointer m_last;
    worker_thread<committed_document, read_document> m_reader;
};

} // namespace crowlink::internal
