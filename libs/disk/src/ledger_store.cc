// One disk's ledger: the replica in memory and the log that makes it durable.
#include "hawthornlane/disk/ledger_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

#include "hawthornlane/net/message_bytes.h"
#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::disk {
namespace {

constexpr char record_tag = 'R';
constexpr char fence_tag = 'F';
constexpr char side_record_tag = 'Q';
/// The log is compacted at the latest when it takes this part of the disk, because both copies
/// of the live records must fit on the disk during compaction.
constexpr double max_part_of_disk = 0.4;
/// The log is compacted when it is this many times as large as its live records, because a
/// restart loads the whole log into memory. Expired records stay in memory until the first tick.
constexpr double max_multiple_of_live = 1.5;
/// A log smaller than this many bytes is not compacted. Replaying a log of this size takes about
/// 40 MB of memory if the turns have a few kilobytes each, and about 80 MB if they have almost no
/// text.
constexpr std::uint64_t min_compacted_bytes = std::uint64_t{32} * 1024 * 1024;
/// Bytes that a compaction rewrites at each tick. More would delay appends of turns.
constexpr std::size_t rewrite_bytes_per_tick = std::size_t{256} * 1024;
constexpr std::size_t copy_page_bytes = std::size_t{256} * 1024;
constexpr std::size_t identity_size = 32;
/// Upper bound of the time from a stream's first event to its last resumption.
constexpr auto longest_stream = std::chrono::seconds(60);

wall_ms wall_now() {
  return wall_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count());
}

std::string new_identity() {
  std::random_device source;
  std::string text;
  while (text.size() < identity_size) {
    text += fmt::format("{:08x}", source());
  }
  return text;
}

std::string tagged(char tag, const std::string& payload) { return std::string(1, tag) + payload; }

}  // namespace

ledger_store::ledger_store(boost::asio::io_context& io, const std::string& folder,
                           std::uint64_t disk_bytes, std::uint64_t segment_bytes,
                           side_journal journal, duration added_sync_time)
    : context(io), max_disk_bytes(disk_bytes), side_records(std::move(journal)) {
  this->load_identity(folder);
  log_recovery found;
  failure reason;
  this->log = turn_log::open(
      folder, [this](std::string_view bytes) { this->on_record(bytes); },
      [this, added_sync_time](std::uint64_t up_to, bool good) {
        std::this_thread::sleep_for(added_sync_time);
        boost::asio::post(this->context, [this, up_to, good] { this->on_durable(up_to, good); });
      },
      found, reason, segment_bytes);
  if (!this->log) {
    throw std::runtime_error("data folder: " + reason.detail);
  }
  hawthornlane::log(event::disk_opened,
                    {{"disk", this->id.get()},
                     {"records", std::to_string(found.records)},
                     {"segments", std::to_string(found.segments)},
                     {"torn_bytes", std::to_string(found.torn_bytes)},
                     {"turns", std::to_string(this->copy.turns())},
                     {"fence", std::to_string(this->copy.fence_epoch().get())}});
}

ledger_store::~ledger_store() = default;

std::uint64_t ledger_store::new_process_number() {
  std::random_device source;
  constexpr unsigned half = 32;
  return (std::uint64_t{source()} << half) | source() | 1U;
}

void ledger_store::load_identity(const std::string& folder) {
  const std::string path = folder + "/identity";
  const auto text = read_small_file(path);
  if (text && text->size() == identity_size) {
    this->id = disk_id(*text);
    return;
  }
  // The file is missing, or its identity was never synced and so never sent to another host.
  // Join as a new member.
  const std::string made = new_identity();
  failure reason;
  if (!write_small_file(path, made, reason)) {
    throw std::runtime_error(reason.detail);
  }
  this->id = disk_id(made);
}

void ledger_store::on_record(std::string_view bytes) {
  const std::string payload(bytes.substr(1));
  if (bytes.front() == fence_tag) {
    this->apply_fence(payload);
    this->logged_fence = this->copy.fence_epoch();
    return;
  }
  if (bytes.front() == side_record_tag) {
    this->side_records.replay(payload);
    return;
  }
  if (auto record = from_bytes_with_tail<ledger_record, std::optional<stream_origin>>(payload)) {
    record->first.origin = std::move(record->second);
    this->copy.apply(record->first);
  }
}

bool ledger_store::apply_fence(const std::string& bytes) {
  if (const auto fence = from_bytes<fence_request>(bytes)) {
    this->set_newest(fence->set);
    return true;
  }
  const auto mark = from_bytes<fence_mark>(bytes);
  if (mark) {
    this->copy.raise_fence(mark->epoch);
  }
  return mark.has_value();
}

std::string ledger_store::fence_bytes() const {
  const set_epoch fence = this->copy.fence_epoch();
  const bool knows_set = this->newest && this->newest->epoch == fence;
  return knows_set ? to_bytes(fence_request{*this->newest}) : to_bytes(fence_mark{fence});
}

void ledger_store::set_newest(const ledger_set& set) {
  if (this->newest && set.epoch <= this->newest->epoch) {
    return;
  }
  this->newest = set;
  this->copy.raise_fence(set.epoch);
}

std::size_t ledger_store::append_record(const ledger_record& record) {
  std::string bytes = tagged(record_tag, to_bytes(record));
  if (record.origin) {
    bytes += to_bytes(record.origin);
  }
  const std::size_t size = bytes.size();
  this->last_record = this->log->append(std::move(bytes));
  return size;
}

void ledger_store::append_fence() {
  this->logged_fence = this->copy.fence_epoch();
  this->last_record = this->log->append(tagged(fence_tag, this->fence_bytes()));
}

void ledger_store::when_durable(std::function<void(bool good)> notify) {
  if (this->broken || this->durable_record >= this->last_record) {
    notify(!this->broken);
    return;
  }
  this->waiting.push_back({this->last_record, std::move(notify), std::chrono::steady_clock::now()});
}

std::chrono::milliseconds ledger_store::backlog_age() const {
  if (this->waiting.empty()) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               this->waiting.front().since);
}

void ledger_store::on_durable(std::uint64_t up_to, bool good) {
  this->durable_record = std::max(this->durable_record, up_to);
  if (!good && !this->broken) {
    this->broken = true;
    hawthornlane::log(event::disk_failed, {{"disk", this->id.get()}});
  }
  while (!this->waiting.empty() &&
         (this->broken || this->waiting.front().record <= this->durable_record)) {
    const waiting_reply next = std::move(this->waiting.front());
    this->waiting.pop_front();
    next.notify(!this->broken);
  }
}

void ledger_store::serve(ledger_method method, const std::string& payload, const reply& answer) {
  switch (method) {
    case ledger_method::append:
      this->serve_append(payload, answer);
      return;
    case ledger_method::collect:
      this->serve_collect(payload, answer);
      return;
    case ledger_method::chain:
      this->serve_chain(payload, answer);
      return;
    case ledger_method::fence:
      this->serve_fence(payload, answer);
      return;
    case ledger_method::copy:
      this->serve_copy(payload, answer);
      return;
    case ledger_method::probe:
      answer(to_bytes(this->probe()));
      return;
    case ledger_method::turns:
      this->serve_turns(payload, answer);
      return;
    case ledger_method::quota:
      // Served by `quota_service`.
      break;
  }
  answer(std::nullopt);
}

std::string ledger_store::report_bytes(const program_id& program,
                                       const std::optional<request_id>& asked) const {
  if (!asked) {
    return {};
  }
  if (std::chrono::steady_clock::now() < this->reports_origins_from) {
    return to_bytes(origin_report{});
  }
  return to_bytes(origin_report{true, this->copy.origin_of(program, *asked)});
}

void ledger_store::note_missing_origins() {
  this->reports_origins_from = std::chrono::steady_clock::now() + longest_stream;
}

void ledger_store::serve_append(const std::string& payload, const reply& answer) {
  auto both = from_bytes_with_tail<append_request, origin_request>(payload);
  if (!both) {
    answer(std::nullopt);
    return;
  }
  auto& [request, origin] = *both;
  request.record.origin = std::move(origin.origin);
  program_response result;
  result.disk = this->id;
  if (!this->copy.accepts(request.epoch)) {
    result.stale = true;
    result.newest = this->newest;
    answer(to_bytes(result));
    return;
  }
  if (this->copy.apply(request.record)) {
    this->append_record(request.record);
  }
  result.reservations = this->copy.reservations_of(request.record.program);
  std::string bytes = to_bytes(result) + this->report_bytes(request.record.program, origin.asked);
  this->when_durable([answer, bytes = std::move(bytes)](bool good) {
    answer(good ? std::optional(bytes) : std::nullopt);
  });
}

void ledger_store::serve_collect(const std::string& payload, const reply& answer) {
  const auto both = from_bytes_with_tail<collect_request, origin_request>(payload);
  if (!both) {
    answer(std::nullopt);
    return;
  }
  const auto& [request, origin] = *both;
  program_response result;
  result.disk = this->id;
  result.stale = !this->copy.accepts(request.epoch);
  if (result.stale) {
    result.newest = this->newest;
    answer(to_bytes(result));
    return;
  }
  result.reservations = this->copy.reservations_of(request.program);
  answer(to_bytes(result) + this->report_bytes(request.program, origin.asked));
}

void ledger_store::serve_chain(const std::string& payload, const reply& answer) {
  const auto both = from_bytes_with_tail<chain_request, chain_part_request>(payload);
  if (!both) {
    answer(std::nullopt);
    return;
  }
  const auto& [request, wanted] = *both;
  chain_response result;
  result.disk = this->id;
  if (!this->copy.accepts(request.epoch)) {
    result.stale = true;
    result.newest = this->newest;
    answer(to_bytes(result));
    return;
  }
  if (wanted.max_bytes == 0) {
    result = this->copy.chain_of(request.last);
    result.disk = this->id;
    answer(to_bytes(result));
    return;
  }
  const chain_part part = this->copy.part_of_chain(request.last, wanted.max_bytes);
  result.known = !part.turns.empty();
  answer(to_bytes(result) + to_bytes(part));
}

void ledger_store::serve_fence(const std::string& payload, const reply& answer) {
  if (!this->apply_fence(payload)) {
    answer(std::nullopt);
    return;
  }
  if (this->copy.fence_epoch() > this->logged_fence) {
    this->append_fence();
  }
  this->when_durable([this, answer](bool good) {
    answer(good ? std::optional(to_bytes(this->probe())) : std::nullopt);
  });
}

void ledger_store::serve_copy(const std::string& payload, const reply& answer) {
  const auto both = from_bytes_with_tail<copy_request, copy_resumption>(payload);
  if (!both) {
    answer(std::nullopt);
    return;
  }
  const auto& [request, resumption] = *both;
  const bool same_process = resumption.source_process == this->process;
  const change_number since = same_process ? resumption.since : change_number(0);
  const copy_progress progress{this->process, this->copy.newest_change()};
  const copy_page page = this->copy.page_after(request, copy_page_bytes, since);
  answer(to_bytes(page) + to_bytes(progress) + to_bytes(origins_of(page)));
}

void ledger_store::serve_turns(const std::string& payload, const reply& answer) {
  const auto request = from_bytes<turns_request>(payload);
  if (!request) {
    answer(std::nullopt);
    return;
  }
  const copy_page page = this->copy.records_of(request->ids, copy_page_bytes);
  answer(to_bytes(page) + to_bytes(origins_of(page)));
}

void ledger_store::adopt(const std::vector<ledger_record>& records,
                         std::function<void(bool good)> done) {
  for (const ledger_record& record : records) {
    if (this->copy.apply(record)) {
      this->append_record(record);
    }
  }
  this->when_durable(std::move(done));
}

void ledger_store::append_side_record(const std::string& record,
                                      std::function<void(bool good)> done) {
  this->last_record = this->log->append(tagged(side_record_tag, record));
  this->when_durable(std::move(done));
}

void ledger_store::tick() {
  this->copy.expire(wall_now());
  const bool is_busy = this->compaction || this->log->removing();
  if (!is_busy && this->log->size() > this->max_log_bytes()) {
    this->keep_from_segment = this->log->start_segment();
    this->compaction = copy_request{};
    this->rewritten_bytes = 0;
    this->append_fence();
    if (this->side_records.whole) {
      this->last_record = this->log->append(tagged(side_record_tag, this->side_records.whole()));
    }
  }
  if (this->compaction) {
    this->compact_log();
  }
}

std::uint64_t ledger_store::max_log_bytes() const {
  const auto part = [](std::uint64_t whole, double share) {
    return static_cast<std::uint64_t>(static_cast<double>(whole) * share);
  };
  // Neither size is exact: that of the texts leaves out the records' other fields, and that of
  // the last compaction may be out of date. Take the larger one.
  const std::uint64_t live_bytes =
      std::max<std::uint64_t>(this->copy.text_bytes(), this->rewritten_bytes);
  const std::uint64_t wanted =
      std::max(min_compacted_bytes, part(live_bytes, max_multiple_of_live));
  return std::min(wanted, part(this->max_disk_bytes, max_part_of_disk));
}

void ledger_store::compact_log() {
  const copy_page page = this->copy.page_after(*this->compaction, rewrite_bytes_per_tick);
  for (const ledger_record& record : page.records) {
    this->rewritten_bytes += this->append_record(record);
  }
  if (!page.last) {
    this->compaction->after_program = page.records.back().program;
    this->compaction->after_request = page.records.back().state.id;
    return;
  }
  this->compaction.reset();
  this->log->remove_before(this->keep_from_segment);
}

}  // namespace hawthornlane::disk
