// Probing, suspicion and gossip of membership updates.
#include "hawthornlane/membership/membership_core.h"

#include <algorithm>
#include <bit>
#include <random>

namespace hawthornlane {
namespace {

/// Whether `a` replaces `b` as the state of the same host.
bool is_newer(const member& a, const member& b) {
  if (a.id.start != b.id.start) {
    return a.id.start > b.id.start;
  }
  if (a.version != b.version) {
    return a.version > b.version;
  }
  return a.state > b.state;
}

}  // namespace

membership_core::membership_core(member self, membership_times probing)
    : own(std::move(self)), times(probing) {
  this->known[this->own.id.host] = this->own;
  this->remaining_sends[this->own.id.host] = this->times.retransmit_multiplier;
}

const member* membership_core::find(const host_id& host) const {
  const auto found = this->known.find(host);
  return found == this->known.end() ? nullptr : &found->second;
}

const member* membership_core::find_live(const host_incarnation& host) const {
  const member* found = this->find(host.host);
  const bool live = found != nullptr && found->id == host &&
                    (found->state == member_state::alive || found->state == member_state::leaving);
  return live ? found : nullptr;
}

std::vector<member> membership_core::usable() const {
  std::vector<member> hosts;
  for (const auto& [host, item] : this->known) {
    if (item.state == member_state::alive) {
      hosts.push_back(item);
    }
  }
  return hosts;
}

probe_message membership_core::make_message(probe_message::kind what, std::uint64_t sequence) {
  probe_message message;
  message.what = what;
  message.from = this->own.id;
  message.reply_to = this->own.peer_address;
  message.sequence = sequence;
  message.documents_digest = this->documents_digest;
  message.documents_current = this->documents_current;
  this->attach_updates(message);
  return message;
}

void membership_core::attach_updates(probe_message& message) {
  message.updates.push_back(this->own);
  for (auto at = this->remaining_sends.begin(); at != this->remaining_sends.end();) {
    if (message.updates.size() >= this->times.updates_per_message) {
      break;
    }
    const auto found = this->known.find(at->first);
    if (found != this->known.end() && found->first != this->own.id.host) {
      message.updates.push_back(found->second);
    }
    at->second -= 1;
    at = at->second == 0 ? this->remaining_sends.erase(at) : std::next(at);
  }
}

const member* membership_core::next_target(std::uint64_t random) {
  while (true) {
    if (this->probe_order.empty()) {
      for (const auto& [host, item] : this->known) {
        if (host != this->own.id.host && item.state != member_state::gone) {
          this->probe_order.push_back(host);
        }
      }
      if (this->probe_order.empty()) {
        return nullptr;
      }
      std::mt19937_64 generator(random);
      std::shuffle(this->probe_order.begin(), this->probe_order.end(), generator);
    }
    const host_id host = this->probe_order.back();
    this->probe_order.pop_back();
    const member* target = this->find(host);
    if (target != nullptr && target->state != member_state::gone) {
      return target;
    }
  }
}

membership_actions membership_core::tick(timestamp now, std::uint64_t random) {
  membership_actions out;
  this->check_pending_probes(now, out);
  this->expire_suspicions(now, out);
  if (const member* target = this->next_target(random)) {
    const std::uint64_t sequence = this->next_sequence++;
    const std::string address = target->peer_address;
    this->pending_probes[sequence] = {target->id, now, false, std::nullopt, 0};
    out.probes.push_back({address, this->make_message(probe_message::kind::ping, sequence)});
  }
  return out;
}

void membership_core::check_pending_probes(timestamp now, membership_actions& out) {
  std::vector<host_incarnation> unanswered;
  for (auto at = this->pending_probes.begin(); at != this->pending_probes.end();) {
    pending_probe& item = at->second;
    const duration age = now - item.sent;
    if (age >= this->times.direct_timeout && !item.sent_ping_requests && !item.requester_address) {
      item.sent_ping_requests = true;
      this->send_ping_requests(at->first, item, out);
    }
    if (age < this->times.period * 2) {
      ++at;
      continue;
    }
    if (!item.requester_address) {
      unanswered.push_back(item.target);
    }
    at = this->pending_probes.erase(at);
  }
  for (const host_incarnation& host : unanswered) {
    this->suspect(host, now, out);
  }
}

void membership_core::send_ping_requests(std::uint64_t sequence, const pending_probe& item,
                                         membership_actions& out) {
  std::uint32_t asked = 0;
  for (const auto& [host, helper] : this->known) {
    const bool helps = host != this->own.id.host && host != item.target.host &&
                       helper.state == member_state::alive;
    if (!helps || asked == this->times.indirect_probes) {
      continue;
    }
    probe_message request = this->make_message(probe_message::kind::ping_request, sequence);
    request.target = item.target;
    out.probes.push_back({helper.peer_address, std::move(request)});
    ++asked;
  }
}

void membership_core::suspect(const host_incarnation& host, timestamp now,
                              membership_actions& out) {
  const auto found = this->known.find(host.host);
  if (found == this->known.end() || found->second.id != host ||
      found->second.state != member_state::alive) {
    return;
  }
  member changed = found->second;
  changed.state = member_state::suspected;
  this->set_member(changed, now, out);
}

void membership_core::expire_suspicions(timestamp now, membership_actions& out) {
  std::vector<member> ended;
  for (const auto& [host, since] : this->suspected_since) {
    if (now - since >= this->times.suspicion) {
      ended.push_back(this->known.at(host));
    }
  }
  for (member& item : ended) {
    item.state = member_state::gone;
    this->set_member(item, now, out);
  }
}

void membership_core::refute(const member& reported) {
  // Another host reports a state of this host that differs from its own: a higher version
  // overrides it.
  if (reported.id == this->own.id && reported.state != this->own.state &&
      reported.version >= this->own.version) {
    this->own.version = reported.version + 1;
    this->known[this->own.id.host] = this->own;
    this->remaining_sends[this->own.id.host] = this->times.retransmit_multiplier;
  }
}

void membership_core::merge(const member& reported, timestamp now, membership_actions& out) {
  if (reported.id.host == this->own.id.host) {
    this->refute(reported);
    return;
  }
  const auto found = this->known.find(reported.id.host);
  if (found != this->known.end() &&
      (found->second == reported || !is_newer(reported, found->second))) {
    return;
  }
  if (found == this->known.end() && reported.state == member_state::gone) {
    return;
  }
  this->set_member(reported, now, out);
}

void membership_core::set_member(const member& reported, timestamp now, membership_actions& out) {
  const auto found = this->known.find(reported.id.host);
  std::optional<member_state> before;
  if (found != this->known.end()) {
    before = found->second.state;
  }
  this->known[reported.id.host] = reported;
  if (reported.state == member_state::suspected) {
    this->suspected_since.emplace(reported.id.host, now);
  } else {
    this->suspected_since.erase(reported.id.host);
  }
  const auto doublings = static_cast<std::uint32_t>(std::bit_width(this->known.size()));
  this->remaining_sends[reported.id.host] = this->times.retransmit_multiplier * doublings;
  out.changes.push_back({reported, before});
}

membership_actions membership_core::listed(const member& reported, timestamp now) {
  membership_actions out;
  if (!this->known.contains(reported.id.host) && reported.id.host != this->own.id.host &&
      reported.state != member_state::gone) {
    this->set_member(reported, now, out);
  }
  return out;
}

membership_actions membership_core::receive(const probe_message& message, timestamp now) {
  membership_actions out;
  for (const member& reported : message.updates) {
    // The sender's entry for itself is always included, so a new incarnation is known at once.
    this->merge(reported, now, out);
  }
  const std::uint64_t sequence = message.sequence;
  if (message.what == probe_message::kind::ping) {
    out.probes.push_back(
        {message.reply_to, this->make_message(probe_message::kind::acknowledge, sequence)});
    return out;
  }
  if (message.what == probe_message::kind::ping_request && message.target) {
    const member* target = this->find(message.target->host);
    if (target != nullptr) {
      const std::uint64_t own_sequence = this->next_sequence++;
      this->pending_probes[own_sequence] = {target->id, now, true, message.reply_to, sequence};
      out.probes.push_back(
          {target->peer_address, this->make_message(probe_message::kind::ping, own_sequence)});
    }
    return out;
  }
  if (message.what != probe_message::kind::acknowledge) {
    return out;
  }
  const auto found = this->pending_probes.find(sequence);
  if (found == this->pending_probes.end()) {
    return out;
  }
  if (found->second.requester_address) {
    out.probes.push_back(
        {*found->second.requester_address,
         this->make_message(probe_message::kind::acknowledge, found->second.requester_sequence)});
  }
  this->pending_probes.erase(found);
  return out;
}

void membership_core::leave() {
  this->own.state = member_state::leaving;
  this->own.version += 1;
  this->known[this->own.id.host] = this->own;
  this->remaining_sends[this->own.id.host] =
      this->times.retransmit_multiplier * this->times.updates_per_message;
}

}  // namespace hawthornlane
