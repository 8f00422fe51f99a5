#pragma once

#include <LibBase/ResultCode.h>

#include <optional>
#include <string>

namespace radishcross::base {

/// Error of the last failed call. A fallible function returns an empty
/// std::optional and stores its code and reason here.
class LastReason {
public:
  /// Stores the error and returns the empty value, so that a function can write
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
