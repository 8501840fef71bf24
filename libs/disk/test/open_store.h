// A ledger store and the event loop that delivers its responses, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <utility>

#include "hawthornlane/disk/ledger_store.h"
#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::disk_tests {
using namespace hawthornlane::disk;

/// A ledger store and the event loop that delivers its responses.
class open_store {
public:
  explicit open_store(const std::string& folder, std::uint64_t disk_bytes = 1 << 20,
                      std::uint64_t segment_bytes = turn_log::usual_segment_bytes,
                      side_journal journal = {})
      : store(context, folder, disk_bytes, segment_bytes, std::move(journal)) {}

  template <class Answer, class Request>
  std::optional<Answer> ask(ledger_method method, const Request& request) {
    const auto bytes = this->ask_bytes(method, to_bytes(request));
    return bytes ? from_bytes<Answer>(*bytes) : std::nullopt;
  }

  std::optional<std::string> ask_bytes(ledger_method method, const std::string& request) {
    std::optional<std::string> bytes;
    bool answered = false;
    this->store.serve(method, request, [&](std::optional<std::string> reply) {
      bytes = std::move(reply);
      answered = true;
    });
    while (!answered) {
      // The log's thread posts its completions; until then the loop has no work.
      this->context.restart();
      this->context.poll();
    }
    return bytes;
  }

  boost::asio::io_context context;
  ledger_store store;
};

}  // namespace hawthornlane::disk_tests
