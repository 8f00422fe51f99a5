#include <LibSchema/DocumentBuilder.h>

#include <cmath>
#include <utility>

namespace radishcross::schema {

namespace {

using ErrorCode = boost::json::error_code;
using Text = boost::json::string_view;

} // namespace

std::string DocumentBuilder::path() const {
  std::string out;
  for (const auto &container : OpenContainers) {
    if (container.IsArray) {
      out += "[" + std::to_string(container.Index) + "]";
      continue;
    }
    if (container.Key.empty())
      continue;
    if (!out.empty())
      out += ".";
    out += container.Key;
  }
  return out;
}

bool DocumentBuilder::refuse(base::ResultCode code, ErrorCode &ec) {
  Refusal = code;
  ec = boost::json::error::input_error;
  return false;
}

void DocumentBuilder::advanceArrayIndex() {
  if (!OpenContainers.empty() && OpenContainers.back().IsArray)
    ++OpenContainers.back().Index;
}

bool DocumentBuilder::on_document_begin(ErrorCode &) {
  Values.reset();
  return true;
}

bool DocumentBuilder::on_document_end(ErrorCode &) { return true; }

bool DocumentBuilder::on_array_begin(ErrorCode &) {
  OpenContainers.emplace_back().IsArray = true;
  return true;
}

bool DocumentBuilder::on_array_end(size_t n, ErrorCode &) {
  OpenContainers.pop_back();
  Values.push_array(n);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_object_begin(ErrorCode &) {
  OpenContainers.emplace_back();
  return true;
}

bool DocumentBuilder::on_object_end(size_t n, ErrorCode &) {
  OpenContainers.pop_back();
  Values.push_object(n);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_string_part(Text text, size_t, ErrorCode &) {
  Values.push_chars(text);
  return true;
}

bool DocumentBuilder::on_string(Text text, size_t, ErrorCode &) {
  Values.push_string(text);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_key_part(Text text, size_t, ErrorCode &) {
  PendingKey.append(text.data(), text.size());
  Values.push_chars(text);
  return true;
}

bool DocumentBuilder::on_key(Text text, size_t, ErrorCode &ec) {
  PendingKey.append(text.data(), text.size());
  Values.push_key(text);
  auto &object = OpenContainers.back();
  object.Key = std::exchange(PendingKey, {});
  if (!object.Keys.insert(object.Key).second)
    return refuse(base::ResultCode::DuplicateKey, ec);
  return true;
}

bool DocumentBuilder::on_number_part(Text text, ErrorCode &) {
  PendingNumber.append(text.data(), text.size());
  return true;
}

bool DocumentBuilder::on_int64(int64_t number, Text, ErrorCode &) {
  PendingNumber.clear();
  Values.push_int64(number);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_uint64(uint64_t number, Text, ErrorCode &) {
  PendingNumber.clear();
  Values.push_uint64(number);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_double(double number, Text text, ErrorCode &ec) {
  std::string digits = std::exchange(PendingNumber, {});
  digits.append(text.data(), text.size());
  // The parser falls back to a lossy double for an integer beyond 64 bits.
  bool isInteger = digits.find_first_of(".eE") == std::string::npos;
  if (isInteger || !std::isfinite(number))
    return refuse(base::ResultCode::NumberOutOfRange, ec);
  Values.push_double(number);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_bool(bool value, ErrorCode &) {
  Values.push_bool(value);
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_null(ErrorCode &) {
  Values.push_null();
  advanceArrayIndex();
  return true;
}

bool DocumentBuilder::on_comment_part(Text, ErrorCode &) { return true; }

bool DocumentBuilder::on_comment(Text, ErrorCode &) { return true; }

} // namespace radishcross::schema
