#pragma once

#include <LibBase/ResultCode.h>

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_stack.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace radishcross::schema {

/// Handler for Boost.JSON's streaming parser that builds the value and rejects
/// what the default parser accepts: duplicate keys in an object, and numbers
/// that fit neither 64 bits nor a finite double.
class DocumentBuilder {
public:
  /// Returns the parsed value; only valid after the end of the document.
  boost::json::value release() { return Values.release(); }

  /// Returns the path of the key or element read last, such as
  /// `routes[2].match`; empty for the document itself.
  std::string path() const;

  /// Returns the code with which this handler rejected the document, or Ok.
  base::ResultCode refusal() const { return Refusal; }

  // Boost.JSON requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr size_t max_object_size = SIZE_MAX;
  static constexpr size_t max_array_size = SIZE_MAX;
  static constexpr size_t max_key_size = SIZE_MAX;
  static constexpr size_t max_string_size = SIZE_MAX;

  bool on_document_begin(boost::json::error_code &ec);
  bool on_document_end(boost::json::error_code &ec);
  bool on_array_begin(boost::json::error_code &ec);
  bool on_array_end(size_t n, boost::json::error_code &ec);
  bool on_object_begin(boost::json::error_code &ec);
  bool on_object_end(size_t n, boost::json::error_code &ec);
  bool on_string_part(boost::json::string_view text, size_t n,
                      boost::json::error_code &ec);
  bool on_string(boost::json::string_view text, size_t n,
                 boost::json::error_code &ec);
  bool on_key_part(boost::json::string_view text, size_t n,
                   boost::json::error_code &ec);
  bool on_key(boost::json::string_view text, size_t n,
              boost::json::error_code &ec);
  bool on_number_part(boost::json::string_view text,
                      boost::json::error_code &ec);
  bool on_int64(int64_t number, boost::json::string_view text,
                boost::json::error_code &ec);
  bool on_uint64(uint64_t number, boost::json::string_view text,
                 boost::json::error_code &ec);
  bool on_double(double number, boost::json::string_view text,
                 boost::json::error_code &ec);
  bool on_bool(bool value, boost::json::error_code &ec);
  bool on_null(boost::json::error_code &ec);
  bool on_comment_part(boost::json::string_view text,
                       boost::json::error_code &ec);
  bool on_comment(boost::json::string_view text, boost::json::error_code &ec);
  // NOLINTEND(readability-identifier-naming)

private:
  /// An object or array that is not complete yet.
  struct Container {
    bool IsArray = false;
    size_t Index = 0;
    std::string Key;
    std::unordered_set<std::string> Keys;
  };

  bool refuse(base::ResultCode code, boost::json::error_code &ec);
  void advanceArrayIndex();

  boost::json::value_stack Values;
  std::vector<Container> OpenContainers;
  std::string PendingKey;
  std::string PendingNumber;
  base::ResultCode Refusal = base::ResultCode::Ok;
};

} // namespace radishcross::schema
