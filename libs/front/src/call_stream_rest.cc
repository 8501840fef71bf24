// Streams whose end only the end of their connection marks. The server's process goes on, but may
// have ended the connection early, so a stream that may be resumed is resumed there, which brings
// nothing if it was whole.
#include <algorithm>
#include <utility>

#include "call_state.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using relay::attempt_outcome;
using steady = std::chrono::steady_clock;

namespace {

/// Resumptions that bring further events and end in the same way again.
constexpr int max_rests = 3;
/// A server that has sent nothing of a rest by then has none.
constexpr auto rest_timeout = std::chrono::milliseconds(500);

}  // namespace

bool call_service::may_lack_rest(const call& one, attempt_outcome outcome) const {
  const bool is_doubtful = outcome == attempt_outcome::whole && one.answer.ends_with_connection;
  if (!is_doubtful || !one.taken->resumable || one.taken->keeps_turns || !one.last_event) {
    return false;
  }
  const auto& listed = this->fleet.backends().listed();
  const auto entry = listed.find(one.server);
  const bool may_be_asked = entry != listed.end() && !entry->second.draining && !this->stop;
  return may_be_asked && !one.caller.gone() && !one.ended_by_stop;
}

asio::awaitable<attempt_outcome> call_service::read_rest(call& one, const backend_entry& server,
                                                         relay::backend_request& request,
                                                         const relay::stream_sink& sink) {
  const net::steady_time until = request.until;
  relay::stream_sink rest_sink = sink;
  rest_sink.on_bytes = [&request, &sink, until](std::string_view bytes) {
    request.until = until;
    return sink.on_bytes(bytes);
  };
  attempt_outcome outcome = attempt_outcome::whole;
  for (int rests = 0; rests < max_rests && this->may_lack_rest(one, outcome); ++rests) {
    const std::int64_t events = one.events;
    relay::backend_response before = std::exchange(one.answer, {});
    const relay::dispatch_terms terms = terms_for(one, server);
    request.headers = this->codec.dispatch_headers(one.request, terms);
    request.until = std::min(until, steady::now() + rest_timeout);
    one.events_before = events;
    one.splitter = {};
    this->metrics.count("stream_rests_asked");
    const attempt_outcome ended =
        co_await this->backends.run(request, rest_sink, one.handle, one.answer, one.detail);
    log_malformed(one);
    outcome = checked(one, ended);
    if (outcome == attempt_outcome::abandoned) {
      co_return outcome;
    }
    if (one.events == events) {
      // The server's process has outlived the end, so the stream is whole without a rest.
      one.answer = std::move(before);
      one.is_run_invalid = false;
      one.detail.clear();
      co_return attempt_outcome::whole;
    }
    this->metrics.count("stream_rests_found");
  }
  if (this->may_lack_rest(one, outcome)) {
    one.detail = "the stream has ended early again and again";
    co_return attempt_outcome::broken;
  }
  co_return outcome;
}

}  // namespace hawthornlane::front
