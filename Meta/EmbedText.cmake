# Writes OUTPUT, a source file that defines the constant SYMBOL with the text of INPUT.
file(READ ${INPUT} text)
file(WRITE ${OUTPUT} "#include <string_view>
namespace radishcross::embedded {
extern const std::string_view ${SYMBOL};
const std::string_view ${SYMBOL} = R\"EMBEDDED(${text})EMBEDDED\";
} // namespace radishcross::embedded
")
