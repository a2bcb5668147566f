#pragma once

namespace crowlink::internal
{

// Lets all threads share one arena of the C library's heap, unless the
// environment chooses their number; to be called before any thread starts. An
// arena keeps what its threads needed at the highest. With one for each thread,
// a document that passes from thread to thread takes its memory in each of
// them.
void share_heap();

} // namespace crowlink::internal
