#pragma once

#include <LibBase/ResultCode.h>

#include <optional>
#include <string>

namespace radishcross::base {

/// Why the last fallible call failed. A fallible function returns an empty
/// std::optional and leaves its code and reason here.
class LastReason {
public:
  /// Sets the reason and returns the empty value, so that a caller can write
  /// `return reason.fail(code, text);`.
  std::nullopt_t fail(ResultCode code, std::string text) {
    Code = code;
    Text = std::move(text);
    return std::nullopt;
  }

  /// Returns the code of the last failure, or ResultCode::Ok.
  ResultCode code() const { return Code; }

  /// Returns the text of the last failure: one line, without a line break.
  const std::string &text() const { return Text; }

  /// Returns "2004 dangling-reference: ..." for logs and the command line.
  std::string line() const;

private:
  ResultCode Code = ResultCode::Ok;
  std::string Text;
};

} // namespace radishcross::base
