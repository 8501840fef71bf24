// Waiting callers, and the channel that delivers each caller's events.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "hawthornlane/ownership/actions.h"

namespace hawthornlane {

/// A piece of streamed text, or, if `answer` is set, the answer that ends the call.
struct call_event {
  std::string text;
  std::optional<call_answer> answer;
};

using call_channel =
    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, call_event)>;

/// Open calls of this host by id. Thread-safe.
///
/// Guarantee: an event reaches only the channel created for its own call. A caller that reads too
/// slowly loses pieces of the stream. If its channel is full when the answer comes, the channel is
/// closed, and the answer must be fetched by its ticket.
class call_table {
public:
  struct entry {
    call_id id;
    std::shared_ptr<call_channel> channel;
  };

  entry add(const boost::asio::any_io_executor& executor);
  void push_text(call_id call, std::string text);
  void complete(call_id call, call_answer answer);
  /// Removes a call whose caller has gone; later events for it are dropped.
  void remove(call_id call);
  [[nodiscard]] std::size_t size() const;

private:
  std::shared_ptr<call_channel> find(call_id call) const;

  mutable std::mutex mutex;
  std::map<call_id, std::shared_ptr<call_channel>> channels;
  std::uint64_t next = 1;
};

}  // namespace hawthornlane
