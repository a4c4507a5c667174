package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.RowChange
import org.lentilquay.transport.peer.peerCbor
import kotlin.random.Random

/** The VMs of a failure domain that follow one reader, if the other reader is lost. */
private const val FOLLOWERS = 20

/** The slowest link of a VM, and how long a message may wait in it behind others. */
private const val LINK_BYTES_PER_SECOND = 7_000_000L / 8
private const val MAXIMUM_WAIT_SECONDS = 0.5
private const val ROUTES = 320

private fun Random.name() = String(CharArray(7) { "abcdefghijklmnopqrstuvwxyz0123456789"[nextInt(36)] })

/** A configuration with random names of routes, hosts and services, as an operator writes it. */
private fun configuration(routes: Int): String = Random(1).run {
    (1..routes).joinToString(",", """{"version":7,"routes":[""", "]}") {
        """{"name":"r-${name()}","host":"${name()}.example","pathPrefix":"/${name()}/","type":"stream",""" +
            """"timeoutMs":8000,"targetLatencyMs":806,"priority":1,"trafficSplit":[{"service":"${name()}",""" +
            """"weight":90},{"service":"${name()}","weight":10}],"attempts":1,"public":false,"sticky":true,""" +
            """"resumable":false,"gapAimMs":400}"""
    }
}

private val LONG = configuration(ROUTES)

private suspend fun relayed(text: String, mayDeflate: Boolean = true): PeerAnswer.TableChanges =
    WatchCache { 0 }.run {
        replace(WatchedRows(5, emptyMap()), tableMillis = 50)
        change(5, mapOf("configuration" to RowChange(text, 6)), upTo = 6, tableMillis = 60)
        changesAfter(5, 0, mayDeflate).shouldNotBeNull()
    }

/**
 * Guards against responses to callers that wait in the link of a reader behind a long configuration which it relays to
 * the other VMs of its failure domain, and against followers that cannot read it.
 */
class RelayedChangeTest : FunSpec({
    // Callers of readers with a slow link left without an answer after each change of the configuration.
    test("a long configuration to all followers takes the slowest link of a reader for less than half a second") {
        val frame = peerCbor.encodeToByteArray(PeerFrame(1, answer = relayed(LONG)))
        frame.size.toLong() * FOLLOWERS shouldBeLessThan (LINK_BYTES_PER_SECOND * MAXIMUM_WAIT_SECONDS).toLong()
    }

    listOf("short" to configuration(1), "long" to LONG).forEach { (name, text) ->
        test("a follower reads a $name configuration as it was written") {
            val frame = peerCbor.encodeToByteArray(PeerFrame(1, answer = relayed(text)))
            val answer = peerCbor.decodeFromByteArray(PeerFrame.serializer(), frame).answer
            (answer as PeerAnswer.TableChanges).inflated().rows shouldBe mapOf("configuration" to RowChange(text, 6))
        }
    }

    // A follower of an older build ignores the field of the deflated rows, and would miss the change.
    test("a follower that does not read deflated rows gets them as text") {
        val changes = relayed(LONG, mayDeflate = false)
        changes.deflatedRows shouldBe null
        changes.rows.getValue("configuration").text shouldBe LONG
    }

    test("followers that ask for other versions get their own changes") {
        val cache = WatchCache { 0 }
        cache.replace(WatchedRows(5, emptyMap()), tableMillis = 50)
        cache.change(5, mapOf("first" to RowChange(LONG, 6)), upTo = 6, tableMillis = 60)
        cache.change(6, mapOf("second" to RowChange(LONG, 7)), upTo = 7, tableMillis = 70)
        suspend fun keys(after: Long) = cache.changesAfter(after, 0, mayDeflate = true)?.inflated()?.rows?.keys
        keys(5) shouldBe setOf("first", "second")
        keys(6) shouldBe setOf("second")
        keys(7) shouldBe emptySet()
    }
})
