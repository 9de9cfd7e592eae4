// The replicated state of control: what every voter builds from the log.

#ifndef FLAMINGOHOLLOW_CONTROL_STATE_H_
#define FLAMINGOHOLLOW_CONTROL_STATE_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "flamingohollow/command.h"
#include "flamingohollow/job.h"
#include "flamingohollow/table.h"
#include "flamingohollow/types.h"

namespace flamingohollow {

struct ControlState {
  Table table_;
  JobRecords jobs_;
};

// The result of applying a record: TableResult for a TableChange,
// JobApplyResult for any other command.
using ApplyResult = std::variant<TableResult, JobApplyResult>;

// Applies one committed record. Deterministic: equal states and records give
// equal states and results on every voter.
ApplyResult ApplyCommand(ControlState& state, LogIndex index,
                         const Command& command);

// The state as bytes, and back. Decoding fails with CodecError.
std::string EncodeControlState(const ControlState& state);
boost::leaf::result<ControlState> DecodeControlState(std::string_view bytes);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_STATE_H_
