// Start-time fair queueing.
#include "hawthornlane/limits/fair_queue.h"

#include <algorithm>

namespace hawthornlane {

void fair_queue::add(const waiting_call& call) {
  account_state& account = this->accounts[call.account];
  if (account.order.empty()) {
    account.served = std::max(account.served, this->virtual_time);
  }
  account.order.emplace(call.order, call.id);
  this->calls.insert_or_assign(call.id, call);
  this->cost_sum += call.cost;
}

std::map<client_account, fair_queue::account_state>::const_iterator fair_queue::next_account()
    const {
  auto best = this->accounts.end();
  for (auto at = this->accounts.begin(); at != this->accounts.end(); ++at) {
    if (at->second.order.empty()) {
      continue;
    }
    if (best == this->accounts.end() || at->second.served < best->second.served) {
      best = at;
    }
  }
  return best;
}

const waiting_call* fair_queue::peek() const {
  const auto account = this->next_account();
  if (account == this->accounts.end()) {
    return nullptr;
  }
  return &this->calls.at(account->second.order.begin()->second);
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
  account.served += taken.cost / taken.weight;
  if (account.order.empty() && account.served <= this->virtual_time) {
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
  this->accounts[call.account].order.erase({call.order, call.id});
  this->cost_sum -= call.cost;
  this->calls.erase(call.id);
}

}  // namespace hawthornlane
