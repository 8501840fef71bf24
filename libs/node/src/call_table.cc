// Delivers events to waiting callers.
#include "hawthornlane/node/call_table.h"

namespace hawthornlane {
namespace {
constexpr std::size_t channel_capacity = 4096;
}

call_table::entry call_table::add(const boost::asio::any_io_executor& executor) {
  // Text may fill all slots. `complete` handles a channel that is full of text.
  auto channel = std::make_shared<call_channel>(executor, channel_capacity + 1);
  const std::lock_guard lock(this->mutex);
  const call_id id(this->next++);
  this->channels.emplace(id, channel);
  return {id, std::move(channel)};
}

std::shared_ptr<call_channel> call_table::find(call_id call) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->channels.find(call);
  return found == this->channels.end() ? nullptr : found->second;
}

void call_table::push_text(call_id call, std::string text) {
  if (const auto channel = this->find(call)) {
    call_event event;
    event.text = std::move(text);
    channel->try_send(boost::system::error_code{}, std::move(event));
  }
}

void call_table::complete(call_id call, call_answer answer) {
  const auto channel = this->find(call);
  if (!channel) {
    return;
  }
  call_event event;
  event.answer = std::move(answer);
  if (!channel->try_send(boost::system::error_code{}, event)) {
    // The channel is full of text that the caller does not read. Close it, so that the reader
    // ends; the answer is kept and can be fetched by its ticket.
    channel->close();
  }
  this->remove(call);
}

void call_table::remove(call_id call) {
  const std::lock_guard lock(this->mutex);
  this->channels.erase(call);
}

std::size_t call_table::size() const {
  const std::lock_guard lock(this->mutex);
  return this->channels.size();
}

}  // namespace hawthornlane
