package org.lentilquay.daemon.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

private const val SECRET = "sixteen bytes or more"
private val HASH = "a".repeat(64)
private val environment = mapOf("FLEET" to SECRET, "SHORT" to "short")::get
private val good = """
    {
      // a comment
      "vm": "vm-1", "failureDomain": "d1",
      "callers": { "listen": "127.0.0.1:0" },
      "administration": { "listen": "127.0.0.1:0" },
      "peers": { "listen": "127.0.0.1:7400" },
      "platform": { "address": "127.0.0.1:9000" },
      "fleetSecret": { "environment": "FLEET" },
      "operators": [ { "name": "o", "tokenSha256": "$HASH" }, ],
      "weightStore": { "name": "w", "loadsPerSecond": 5 },
    }
""".trimIndent()

private fun errors(text: String) = settingsOf(text, environment).shouldBeInstanceOf<SettingsResult.Invalid>().errors

/** Guards against invalid settings that are accepted, and against errors that are reported one at a time. */
class SettingsReaderTest : FunSpec({
    test("omitted settings get their defaults, and the secret is not in the text of the settings") {
        val read = settingsOf(good, environment).shouldBeInstanceOf<SettingsResult.Read>()
        read.settings.timing shouldBe TimingSettings()
        read.settings.timing.newOwnerWaitMillis shouldBe 4_500
        read.settings.quotaSeats shouldBe 16
        read.settings.limits.bodyBytes shouldBe 1_048_576
        read.settings.peers.advertisedAddress shouldBe "127.0.0.1:7400"
        read.fleetSecret.reveal { it.decodeToString() } shouldBe SECRET
        "${read.fleetSecret} ${read.settings}" shouldNotContain SECRET
    }

    test("all wrong names and types are listed with their lines and without their values") {
        val text = """
            {
              "vm": 7,
              "failuredomain": "d1",
              "callers": "127.0.0.1:80",
              "administration": { "listen": "127.0.0.1:0", "listen": "127.0.0.1:1" },
              "peers": { "listen": null },
              /* a comment
                 of two lines */
              "platform": { "address": "127.0.0.1:9000", "timeoutMillis": "1000" },
              "fleetSecret": "$SECRET",
              "operators": [ { "name": "o" } ],
              "log": { "format": "xml" },
              "quotaSeats": 1.5,
            }
        """.trimIndent()
        errors(text).map { it.toString() } shouldContainExactly listOf(
            "$.failureDomain (line 1): required setting is missing",
            "$.weightStore (line 1): required setting is missing",
            "$.vm (line 2): must be a text, not a number",
            "$.failuredomain (line 3): unknown setting; meant is \"failureDomain\"",
            "$.callers (line 4): must be an object, not a text",
            "$.administration.listen (line 5): given more than once",
            "$.peers.listen (line 6): must not be null",
            "$.platform.timeoutMillis (line 9): must be a whole number, not a text",
            "$.fleetSecret (line 10): must be an object, not a text",
            "$.operators[0].tokenSha256 (line 11): required setting is missing",
            "$.log.format (line 12): must be one of json, logfmt",
            "$.quotaSeats (line 13): must be a whole number up to 2147483647, not a number",
        )
        errors(text).joinToString() shouldNotContain SECRET
    }

    mapOf(
        "\"vm-1\"" to "\"vm 1\"" to "$.vm",
        "127.0.0.1:9000" to "platform:9000" to "$.platform.address",
        "127.0.0.1:7400" to "0.0.0.0:7400" to "$.peers.advertise",
        "\"FLEET\"" to "\"ABSENT\"" to "$.fleetSecret",
        "\"FLEET\"" to "\"SHORT\"" to "$.fleetSecret",
        "\"environment\"" to "\"file\": \"/nonexistent\", \"environment\"" to "$.fleetSecret",
        "{ \"environment\": \"FLEET\" }" to "{}" to "$.fleetSecret",
        HASH to "A" to "$.operators[0].tokenSha256",
        "[ {" to "[ { \"name\": \"o\", \"tokenSha256\": \"${"b".repeat(64)}\" }, {" to "$.operators[1].name",
        "\"loadsPerSecond\": 5" to "\"loadsPerSecond\": 0" to "$.weightStore.loadsPerSecond",
        "\"vm\"" to "\"quotaSeats\": 0, \"vm\"" to "$.quotaSeats",
        "\"vm\"" to "\"timing\": { \"renewMillis\": 3000 }, \"vm\"" to "$.timing.renewMillis",
        "\"vm\"" to "\"timing\": { \"drainMillis\": 0 }, \"vm\"" to "$.timing.drainMillis",
        "\"vm\"" to "\"limits\": { \"bodyBytes\": 1 }, \"vm\"" to "$.limits.bodyBytes",
        "\"vm\"" to
            "\"seeds\": [{ \"vm\": \"vm-1\", \"address\": \"10.0.0.1:1\", \"failureDomain\": \"d\" }], \"vm\"" to
            "$.seeds[0].vm",
    ).forEach { (change, path) ->
        test("${change.second.take(40)} violates the rule for $path") {
            errors(good.replaceFirst(change.first, change.second)).map { it.path } shouldContainExactly listOf(path)
        }
    }

    test("violated rules and a missing secret are listed together") {
        val text = good.replace("127.0.0.1:9000", "x").replace("\"FLEET\"", "\"ABSENT\"").replace("\"d1\"", "\"\"")
        errors(text).map { it.path } shouldContainExactly
            listOf("$.failureDomain", "$.platform.address", "$.fleetSecret")
    }

    test("a text that is not JSON gives one error with its line and without the text") {
        val error = errors("{\n  \"vm\": \"vm-1\",\n  \"fleetSecret\": $SECRET\n}").single()
        error shouldBe SettingsError("$", 3, "not valid JSON")
    }

    test("the line break after a secret in a file is ignored, and a missing settings file is an error") {
        val file = Files.createTempFile("secret", null).apply { writeText("$SECRET\n") }
        val read = settingsOf(good.replace("\"environment\": \"FLEET\"", "\"file\": \"$file\""))
        read.shouldBeInstanceOf<SettingsResult.Read>().fleetSecret.reveal { it.decodeToString() } shouldBe SECRET
        Files.delete(file)
        readSettings(file).shouldBeInstanceOf<SettingsResult.Invalid>()
    }

    listOf("emberline", "nour").forEach { name ->
        test("the example settings $name.json are valid") {
            val text = Path.of("../config/$name.json").readText().replace("\"file\"", "\"environment\"")
            settingsOf(text) { SECRET }.shouldBeInstanceOf<SettingsResult.Read>().settings.seeds.size shouldBe 6
        }
    }
})
