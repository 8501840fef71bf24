// A buffer into which all connections of a thread read in turn.
#pragma once

#include <span>

namespace hawthornlane::http {

/// The buffer of the calling thread. What has been read into it must be used before the next wait:
/// other connections read into it, and a coroutine may go on in another thread. So a connection
/// that waits holds no buffer.
std::span<char> read_scratch();

}  // namespace hawthornlane::http
