// Makes a control process from its settings.

#ifndef FLAMINGOHOLLOW_CONTROL_PROCESS_H_
#define FLAMINGOHOLLOW_CONTROL_PROCESS_H_

#include <boost/leaf/result.hpp>
#include <memory>

#include "flamingohollow/control.h"
#include "flamingohollow/settings.h"

namespace flamingohollow {

// Opens the data folder and listens. Fails with ControlError.
boost::leaf::result<std::unique_ptr<ControlServer>> MakeControl(
    const Settings& settings);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CONTROL_PROCESS_H_
