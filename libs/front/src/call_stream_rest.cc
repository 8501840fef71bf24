// Streams whose end only the end of their connection marks. A server that goes on may have ended
// the connection early, so a stream that may be resumed is resumed there, which brings nothing if
// it was whole.
#include "call_state.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using relay::attempt_outcome;

namespace {

/// Resumptions that bring further events and end in the same way again.
constexpr int max_rests = 3;

}  // namespace

bool call_service::may_lack_rest(const call& one, attempt_outcome outcome) const {
  const bool is_doubtful = outcome == attempt_outcome::whole && one.answer.ends_with_connection;
  if (!is_doubtful || !one.taken->resumable || one.taken->keeps_turns || !one.last_event) {
    return false;
  }
  const auto& listed = this->fleet.backends().listed();
  const auto entry = listed.find(one.server);
  return entry != listed.end() && !entry->second.draining && !one.caller.gone() &&
         !one.ended_by_stop;
}

asio::awaitable<attempt_outcome> call_service::read_rest(call& one, const backend_entry& server,
                                                         relay::backend_request& request,
                                                         const relay::stream_sink& sink) {
  attempt_outcome outcome = attempt_outcome::whole;
  for (int rests = 0; rests < max_rests && this->may_lack_rest(one, outcome); ++rests) {
    const std::int64_t events = one.events;
    const relay::dispatch_terms terms = terms_for(one, server);
    request.headers = this->codec.dispatch_headers(one.request, terms);
    one.events_before = events;
    one.splitter = {};
    one.answer = {};
    this->metrics.count("stream_rests_asked");
    const attempt_outcome ended =
        co_await this->backends.run(request, sink, one.handle, one.answer, one.detail);
    if (ended == attempt_outcome::not_sent || ended == attempt_outcome::not_run) {
      co_return attempt_outcome::whole;
    }
    outcome = checked(one, ended);
    if (one.events == events) {
      co_return outcome;
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
