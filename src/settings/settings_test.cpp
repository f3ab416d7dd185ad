#include "skylarkhill/settings/settings.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace skylarkhill::settings {

namespace {

const std::string kMinimalSettings = "[instance]\n"
                                     "name = \"entry-1\"\n"
                                     "domain = \"montevideo-a\"\n"
                                     "region = \"litoral-sur\"\n"
                                     "[listen]\n"
                                     "address = \"127.0.0.1\"\n"
                                     "[platform]\n"
                                     "address = \"127.0.0.1\"\n"
                                     "port = 8400\n";

bool
HasFinding(const SettingsReadResult& aResult,
           std::int64_t aLine,
           const std::string& aKey,
           const std::string& aPart)
{
  return std::any_of(aResult.mFindings.begin(),
                     aResult.mFindings.end(),
                     [&](const SettingsFinding& aFinding) {
                       return aFinding.mLine == aLine &&
                              aFinding.mKey == aKey &&
                              aFinding.mProblem.find(aPart) !=
                                std::string::npos;
                     });
}

class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ExampleShowsDefaults);
  CPPUNIT_TEST(ReportsAllFindings);
  CPPUNIT_TEST(ReportsContradictions);
  CPPUNIT_TEST(ReportsMalformedText);
  CPPUNIT_TEST(ReadsCredentialFile);
  CPPUNIT_TEST(SecretIsNotPrinted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an example that differs from the defaults or misses a key.
  void ExampleShowsDefaults()
  {
    const std::string path = SKYLARKHILL_SOURCE_DIR "/examples/entry.toml";
    const auto example = LoadSettings(path);
    CPPUNIT_ASSERT_MESSAGE(example.has_error() ? example.error().mDetail : "",
                           example.has_value());
    const auto defaults = ParseSettings(kMinimalSettings, "required.toml");
    CPPUNIT_ASSERT(defaults.has_value());
    const std::string lines = FormatSettings(defaults.value());
    CPPUNIT_ASSERT_EQUAL(lines, FormatSettings(example.value()));

    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    std::istringstream keys(lines);
    for (std::string line; std::getline(keys, line);) {
      const std::size_t dot = line.find('.');
      const std::string key = line.substr(dot + 1, line.find(' ') - dot - 1);
      CPPUNIT_ASSERT_MESSAGE(key,
                             text.str().find(key + " = ") != std::string::npos);
    }
  }

  // Guards against a reader that stops at the first problem.
  void ReportsAllFindings()
  {
    const auto result = ReadSettings("colour = 1\n"
                                     "[listen]\n"
                                     "address = \"localhost\"\n"
                                     "port = 70000\n"
                                     "threads = \"many\"\n"
                                     "speed = 3\n"
                                     "[platform]\n"
                                     "[peers]\n"
                                     "addresses = [\"10.0.0.1:80\",\n"
                                     "  \"10.0.0.1\", \"[::1]:9\", 5]\n"
                                     "[operator]\n"
                                     "credential = \"hunter2\"\n"
                                     "[log_output]\n"
                                     "level = \"loud\"\n",
                                     "x.toml");
    CPPUNIT_ASSERT(HasFinding(result, 1, "colour", "unknown"));
    CPPUNIT_ASSERT(HasFinding(result, 1, "instance.name", "missing"));
    CPPUNIT_ASSERT(HasFinding(result, 3, "listen.address", "IP address"));
    CPPUNIT_ASSERT(HasFinding(result, 4, "listen.port", "1 and 65535"));
    CPPUNIT_ASSERT(HasFinding(result, 5, "listen.threads", "an integer"));
    CPPUNIT_ASSERT(HasFinding(result, 6, "listen.speed", "unknown"));
    CPPUNIT_ASSERT(HasFinding(result, 7, "platform.address", "missing"));
    CPPUNIT_ASSERT(HasFinding(result, 7, "platform.port", "missing"));
    CPPUNIT_ASSERT(HasFinding(result, 10, "peers.addresses", "a list"));
    CPPUNIT_ASSERT(HasFinding(result, 12, "operator.credential", "at least"));
    CPPUNIT_ASSERT(HasFinding(result, 14, "log_output.level", "one of"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(14), result.mFindings.size());
    const std::string text = JoinFindings(result.mFindings);
    CPPUNIT_ASSERT(text.find("x.toml:4: listen.port: ") != std::string::npos);
    CPPUNIT_ASSERT(text.find("hunter2") == std::string::npos);
  }

  // Guards against values that are valid alone but contradict each other.
  void ReportsContradictions()
  {
    const auto result =
      ReadSettings(kMinimalSettings + "[holder]\n"
                                      "lease_ms = 1000\n"
                                      "[tasks]\n"
                                      "lease_ms = 2000\n"
                                      "[requests]\n"
                                      "standing_limit = 256\n"
                                      "[drain]\n"
                                      "deadline_ms = 3000\n"
                                      "[operator]\n"
                                      "credential = \"0123456789abcdef\"\n"
                                      "credential_file = \"/nowhere\"\n",
                   "x.toml");
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), result.mFindings.size());
    CPPUNIT_ASSERT(HasFinding(result, 11, "holder.lease_ms", "must exceed"));
    CPPUNIT_ASSERT(HasFinding(result, 13, "tasks.lease_ms", "must exceed"));
    const std::string withKey = "[listen]\naddress = \"::1\"\nkey = \"k\"\n";
    CPPUNIT_ASSERT(HasFinding(ReadSettings(withKey, "x"),
                              1,
                              "listen.certificate",
                              "must be set together"));
  }

  void ReportsMalformedText()
  {
    for (const char* it :
         { "a = ", "[listen\n", "[!]\n", "[=]", "a = 1\na = 2\n", "\xff" }) {
      const auto settings = ParseSettings(it, "x.toml");
      CPPUNIT_ASSERT_MESSAGE(it, settings.has_error());
      CPPUNIT_ASSERT(settings.error().mKind ==
                     base::ErrorKind::InvalidSettings);
      CPPUNIT_ASSERT(settings.error().mDetail.find("x.toml:") == 0);
    }
    CPPUNIT_ASSERT(ParseSettings("listen = 3", "x.toml").has_error());
    CPPUNIT_ASSERT(LoadSettings("/nonexistent.toml").has_error());
  }

  // Guards against keeping the trailing newline of a credential file as part of
  // the credential, and against detecting missing files only after the ports
  // are open.
  void ReadsCredentialFile()
  {
    const std::string stem = SKYLARKHILL_BINARY_DIR "/settings_test";
    std::ofstream(stem + ".secret") << "0123456789abcdef\n";
    std::ofstream(stem + ".toml")
      << kMinimalSettings << "[operator]\ncredential_file = \"" << stem
      << ".secret\"\n";
    const auto settings = LoadSettings(stem + ".toml");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(
      settings.value().mOperator.mCredential.Matches("0123456789abcdef"));
    std::remove((stem + ".secret").c_str());
    const auto missing = LoadSettings(stem + ".toml");
    CPPUNIT_ASSERT(missing.has_error());
    CPPUNIT_ASSERT(
      missing.error().mDetail.find(".toml:11: operator.credential_file: ") !=
      std::string::npos);
    std::remove((stem + ".toml").c_str());
  }

  // Guards against credentials in logs.
  void SecretIsNotPrinted()
  {
    const Secret secret("0123456789abcdef");
    std::ostringstream out;
    out << secret;
    CPPUNIT_ASSERT_EQUAL(std::string("[secret]"), out.str());
    CPPUNIT_ASSERT(!secret.Matches("0123456789abcdeg"));
    CPPUNIT_ASSERT(!secret.Matches("0123456789abcdef0123456789abcdef"));
    CPPUNIT_ASSERT(!secret.Matches(""));
    CPPUNIT_ASSERT(!Secret().Matches(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace

} // namespace skylarkhill::settings
