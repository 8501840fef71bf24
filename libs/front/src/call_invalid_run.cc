// Runs that prove invalid by what their server sends after a valid event: no other run is joined to
// what the caller has of them, neither inside the response nor when the caller resumes the stream.
#include <algorithm>
#include <utility>

#include "call_state.h"
#include "hawthornlane/relay/framing.h"

namespace hawthornlane::front {
namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

/// Time for which a withdrawal is retried while disk hosts are down: about a restart plus a change
/// of the set of disks.
constexpr auto withdrawal_time = std::chrono::seconds(6);

}  // namespace

bool call_service::reject_run(call& one, std::string reason) {
  one.detail = std::move(reason);
  one.is_run_invalid = true;
  return false;
}

bool call_service::is_stream(const relay::backend_response& answer) {
  return std::any_of(answer.headers.begin(), answer.headers.end(), [](const http::header& item) {
    return relay::same_header_name(item.name, "content-type") &&
           item.value.starts_with("text/event-stream");
  });
}

void call_service::note_spoilt_stream(call& one) {
  one.is_run_invalid = one.is_run_invalid || one.answer.is_malformed;
  if (!one.is_run_invalid || one.events == one.events_before) {
    return;
  }
  one.is_spoilt = true;
  this->metrics.count("streams_spoilt");
}

asio::awaitable<void> call_service::withdraw_origin(call& one) {
  if (!one.turn || !one.taken->resumable) {
    // The ledger has no origin of the stream, so no resumption is admitted.
    co_return;
  }
  turn_request origin = *one.turn;
  origin.id = one.resumes.value_or(origin.id);
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const auto state = std::make_shared<origin_state>(executor);
  state->under_way = stream_origin::last_write;
  const auto on_stored = [state](bool) {
    state->under_way = 0;
    state->stored.cancel();
  };
  this->turns.store_origin(origin, withdrawn_origin(), steady::now() + withdrawal_time, on_stored);
  while (state->under_way != 0 && steady::now() < one.until) {
    state->stored.expires_at(one.until);
    boost::system::error_code ignored;
    co_await state->stored.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace hawthornlane::front
