#include "skylarkhill/base/json.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkhill::base {

namespace {

class JsonTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(RefusesMalformedText);
  CPPUNIT_TEST(RoundTripsTypedValues);
  CPPUNIT_TEST(PreservesNonAsciiText);
  CPPUNIT_TEST(ParsesANumberAsDocument);
  CPPUNIT_TEST(ReportsAllFindings);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against malformed text that the parser of cxxtools accepts.
  void RefusesMalformedText()
  {
    for (const char* it : { "",
                            "{",
                            "{\"a\":1",
                            "{\"a\":1}x",
                            "{\"a\":1,\"a\":2}",
                            "[1,]",
                            "{\"a\"}",
                            "\"\xff\"",
                            "\"open",
                            "nope" }) {
      const auto result = ParseJson(it);
      CPPUNIT_ASSERT_MESSAGE(it, result.has_error());
      CPPUNIT_ASSERT(result.error().mKind == ErrorKind::InvalidJson);
    }
    CPPUNIT_ASSERT(ParseJson(std::string(100'000, '[')).has_error());
  }

  void RoundTripsTypedValues()
  {
    const std::string text =
      R"({"s":"x","n":-7,"big":9007199254740993,"b":true,"z":null,"d":1.5,"l":["p","q"]})";
    const auto value = ParseJson(text);
    CPPUNIT_ASSERT(value.has_value());
    const auto again = ParseJson(FormatJson(value.value()));
    CPPUNIT_ASSERT(again.has_value());
    JsonReader reader(again.value());
    CPPUNIT_ASSERT_EQUAL(std::string("x"), reader.GetString("s"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(-7), reader.GetInt("n"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9007199254740993), reader.GetInt("big"));
    CPPUNIT_ASSERT(reader.GetBool("b", false));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), reader.GetStrings("l").size());
    CPPUNIT_ASSERT(reader.GetMember("z") == nullptr);
    CPPUNIT_ASSERT_EQUAL(1.5, reader.GetDouble("d", 0.0));
    reader.RejectUnknown();
    CPPUNIT_ASSERT(reader.Check().has_value());
  }

  // Guards against the conversion to one byte per character in cxxtools, which
  // turns most characters into '?'.
  void PreservesNonAsciiText()
  {
    const std::string text =
      "Direcci\u00f3n \u20ac \U0001F600 \\u00e9 \x01\n\"";
    for (const char* it : { "Direcci\u00f3n \u20ac \U0001F600",
                            "Direcci\\u00f3n \\u20ac \\ud83d\\ude00" }) {
      const auto value = ParseJson(std::string("{\"s\":\"") + it + "\"}");
      CPPUNIT_ASSERT_EQUAL(std::string("Direcci\u00f3n \u20ac \U0001F600"),
                           JsonReader(value.value()).GetString("s"));
    }
    JsonValue object = MakeJsonObject();
    object.addMember("\u20ac") <<= text;
    const std::string formatted = FormatJson(object);
    CPPUNIT_ASSERT(formatted.find("Direcci\u00f3n") != std::string::npos);
    const auto again = ParseJson(formatted);
    CPPUNIT_ASSERT_EQUAL(text, JsonReader(again.value()).GetString("\u20ac"));
    CPPUNIT_ASSERT_EQUAL(formatted, FormatJson(again.value()));
  }

  // Guards against the loss of a number that is the whole document.
  void ParsesANumberAsDocument()
  {
    for (const char* it : { "17", " 17 \r\n\t" }) {
      CPPUNIT_ASSERT_EQUAL(std::string("17"),
                           FormatJson(ParseJson(it).value()));
    }
    CPPUNIT_ASSERT(ParseJson("1-2").has_error());
  }

  void ReportsAllFindings()
  {
    const auto value = ParseJson(R"({"n":"seven","extra":1})");
    JsonReader reader(value.value(), "service counter");
    reader.GetInt("n");
    reader.GetString("name");
    reader.RejectUnknown();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), reader.Findings().size());
    CPPUNIT_ASSERT(reader.Check().has_error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace

} // namespace skylarkhill::base
