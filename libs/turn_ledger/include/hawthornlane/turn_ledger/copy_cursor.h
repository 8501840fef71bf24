// How far one disk's records have been copied. No I/O, clock or randomness.
#pragma once

#include <algorithm>
#include <cstdint>

#include "hawthornlane/turn_ledger/ledger_records.h"

namespace hawthornlane {

/// Progress of copying the records of one disk, the source. Records are read in passes; a pass
/// reads, in the order of their programs, all programs that have changed since the previous pass
/// began. A copy that was interrupted goes on where it stopped.
///
/// Guarantees: a record that the source held when a pass began has been read when it ends, unless
/// the source has dropped it as expired. After a restart of the source everything is read again.
class copy_cursor {
public:
  copy_cursor() = default;
  /// `fenced`: the lowest epoch that the source is known to accept.
  explicit copy_cursor(set_epoch fenced) : fence(fenced) {}

  [[nodiscard]] const copy_request& position() const { return this->next; }
  [[nodiscard]] copy_resumption resumption() const { return {this->process, this->since}; }

  /// The source has confirmed that it refuses epochs below `epoch`, also after a restart.
  void on_fenced(set_epoch epoch) { this->fence = std::max(this->fence, epoch); }

  /// Call this once the page's records are durable at the reader. Returns true if a pass ends.
  bool on_page(const copy_page& page, const copy_progress& progress) {
    const bool begins = this->next.after_program.get().empty();
    const bool same_process = progress.source_process == this->process;
    if (!begins && !same_process) {
      *this = copy_cursor(this->fence);
      return false;
    }
    if (begins) {
      // The source has served its own changes from the first one if it does not know `process`.
      this->since = same_process ? this->since : change_number(0);
      this->process = progress.source_process;
      this->pass_newest = progress.newest;
      this->pass_fence = this->fence;
    }
    if (!page.last) {
      if (!page.records.empty()) {
        this->next = {page.records.back().program, page.records.back().state.id};
      }
      return false;
    }
    this->next = {};
    this->since = this->pass_newest;
    this->complete = std::max(this->complete, this->pass_fence);
    return true;
  }

  /// True if every record that the source accepted below `epoch` has been read.
  [[nodiscard]] bool complete_below(set_epoch epoch) const {
    return epoch > set_epoch(0) && this->complete >= epoch;
  }

private:
  /// The source's process whose changes are counted; 0: none, or one of an older version.
  std::uint64_t process = 0;
  change_number since;
  copy_request next;
  set_epoch fence;
  /// Source's newest change, and its confirmed fence, when the current pass began.
  change_number pass_newest;
  set_epoch pass_fence;
  /// Highest fence that was confirmed before a pass which has ended.
  set_epoch complete;
};

}  // namespace hawthornlane
