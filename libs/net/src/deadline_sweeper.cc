// Periodic check of many deadlines by one timer.
#include "hawthornlane/net/deadline_sweeper.h"

namespace hawthornlane::net {

deadline_sweeper::deadline_sweeper(boost::asio::io_context& context) : timer(context) {
  this->schedule();
}

void deadline_sweeper::schedule() {
  this->timer.expires_after(interval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    this->sweep();
    this->schedule();
  });
}

void deadline_sweeper::sweep() {
  const steady_time now = std::chrono::steady_clock::now();
  std::vector<deadline_item*> expired;
  for (deadline_item* item : *this->items) {
    if (item->expires_at <= now) {
      expired.push_back(item);
    }
  }
  for (deadline_item* item : expired) {
    // The callback of an earlier item may have removed this one or changed its deadline.
    if (!this->items->contains(item) || item->expires_at > now) {
      continue;
    }
    item->expires_at = never;
    item->on_expired();
  }
  for (const auto& hook : this->hooks) {
    hook();
  }
}

}  // namespace hawthornlane::net
