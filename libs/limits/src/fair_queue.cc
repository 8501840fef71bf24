// Start-time fair queueing.
#include "hawthornlane/limits/fair_queue.h"

#include <algorithm>

namespace hawthornlane {

void fair_queue::add(const waiting_call& call) {
  account_state& account = this->accounts[call.account];
  if (account.waiting.empty()) {
    account.served = std::max(account.served, this->virtual_time);
    this->by_served.emplace(account.served, call.account);
  }
  account.waiting.emplace(call.sort_key, call.id);
  this->calls.insert_or_assign(call.id, call);
  this->cost_sum += call.cost;
}

const waiting_call* fair_queue::peek() const {
  if (this->by_served.empty()) {
    return nullptr;
  }
  const account_state& account = this->accounts.at(this->by_served.begin()->second);
  return &this->calls.at(account.waiting.begin()->second);
}

std::optional<waiting_call> fair_queue::take() {
  const waiting_call* next = this->peek();
  if (next == nullptr) {
    return std::nullopt;
  }
  const waiting_call taken = *next;
  this->erase(taken);
  account_state& account = this->accounts[taken.account];
  this->virtual_time = std::max(this->virtual_time, account.served);
  this->by_served.erase({account.served, taken.account});
  account.served += taken.cost / taken.weight;
  if (!account.waiting.empty()) {
    this->by_served.emplace(account.served, taken.account);
  }
  if (account.waiting.empty() && account.served <= this->virtual_time) {
    this->accounts.erase(taken.account);
  }
  return taken;
}

bool fair_queue::remove(waiting_id id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return false;
  }
  this->erase(waiting_call(found->second));
  return true;
}

void fair_queue::erase(const waiting_call& call) {
  account_state& account = this->accounts[call.account];
  account.waiting.erase({call.sort_key, call.id});
  if (account.waiting.empty()) {
    this->by_served.erase({account.served, call.account});
  }
  this->cost_sum -= call.cost;
  this->calls.erase(call.id);
}

}  // namespace hawthornlane
