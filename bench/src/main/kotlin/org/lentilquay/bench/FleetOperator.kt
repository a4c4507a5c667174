/*
 * Calls the administration listeners of a fleet as an operator and as the platform's load balancer: applies plans,
 * reads status, readiness and metrics. Also reads CPU time and memory of a process from /proc.
 */
package org.lentilquay.bench

import kotlinx.serialization.json.Json
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.PlanRequest
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.ConfigurationChange
import java.io.File
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.TimeUnit

private const val OK = 200
private const val TIMEOUT_SECONDS = 20L
private const val STARTUP_TIMEOUT_SECONDS = 60L
private const val POLL_MILLIS = 200L
private const val CONFIRM_ATTEMPTS = 40

/** Clock ticks a second (USER_HZ) of the CPU times in /proc, which is 100 on every common Linux. */
private const val TICKS_PER_SECOND = 100.0
private const val USER_TIME_FIELD = 11
private const val KIB = 1024L
private val json = Json { encodeDefaults = true }

internal class FleetOperator(private val fleet: Fleet) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Waits until all daemons are ready. */
    fun awaitReady() = awaitCondition("not all daemons are ready") { fleet.vms.all(::isReady) }

    /** Waits until every engine has an owner in the state `owning`. */
    fun awaitEnginesOwned() = awaitCondition("not every engine has an owner") {
        fleet.vms.flatMap { status(it).ownedServers }.filter { it.state == "owning" }.map { it.server }.toSet()
            .count { it.startsWith("engine-") } == fleet.size.engines
    }

    /** Waits until every daemon has applied [revision]. */
    fun awaitRevision(revision: Long) = awaitCondition("not all daemons have applied revision $revision") {
        fleet.vms.all { status(it).revision >= revision }
    }

    fun isReady(vm: DaemonProcess): Boolean = try {
        get("http://127.0.0.1:${vm.administrationPort}/ready").statusCode() == OK
    } catch (_: IOException) {
        false
    }

    fun status(vm: DaemonProcess): StatusReport =
        json.decodeFromString(get("http://127.0.0.1:${vm.administrationPort}/admin/v1/status").body())

    /**
     * Creates and confirms a plan on the first VM; returns the new revision. Retries, because a new fleet may
     * refuse the first attempts.
     */
    fun applyChange(change: ConfigurationChange): Long {
        val base = "http://127.0.0.1:${fleet.vms.first().administrationPort}/admin/v1/plans"
        var answer = ""
        repeat(CONFIRM_ATTEMPTS) {
            val planned = post(base, json.encodeToString(PlanRequest.serializer(), PlanRequest(change)))
            answer = planned.body()
            if (planned.statusCode() == OK) {
                json.decodeFromString<Plan>(answer)
                val confirmed = post("$base/confirm", answer)
                answer = confirmed.body()
                if (confirmed.statusCode() == OK) {
                    return json.decodeFromString<Confirmation>(answer).revision
                }
            }
            Thread.sleep(POLL_MILLIS)
        }
        error("the configuration change was not accepted: ${answer.take(MAXIMUM_ERROR_CHARACTERS)}")
    }

    /** The metrics of [vm]: each series by its full name, and each metric name with the sum over its series. */
    fun metrics(vm: DaemonProcess): Map<String, Double> {
        val text = get("http://127.0.0.1:${vm.administrationPort}/metrics").body()
        val sums = HashMap<String, Double>()
        text.lineSequence().filter { it.isNotBlank() && !it.startsWith("#") }.forEach { line ->
            val series = line.substringBeforeLast(' ')
            val value = line.substringAfterLast(' ').toDoubleOrNull() ?: 0.0
            sums.merge(series, value, Double::plus)
            if ('{' in series) sums.merge(series.substringBefore('{'), value, Double::plus)
        }
        return sums
    }

    /** The counters of the engine stand-in at [port]. */
    fun counters(port: Int): Map<String, Long> =
        json.decodeFromString(get("http://127.0.0.1:$port/counters").body())

    fun get(address: String): HttpResponse<String> = send(HttpRequest.newBuilder(URI(address)).GET())

    private fun post(address: String, body: String): HttpResponse<String> = send(
        HttpRequest.newBuilder(URI(address))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body)),
    )

    private fun send(request: HttpRequest.Builder): HttpResponse<String> = client.send(
        request.header("Authorization", "Bearer $OPERATOR_TOKEN").timeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build(),
        HttpResponse.BodyHandlers.ofString(),
    )

    private fun awaitCondition(failure: String, condition: () -> Boolean) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_TIMEOUT_SECONDS)
        while (!condition()) {
            check(fleet.vms.all { it.isAlive }) { "a daemon process has exited; see its log" }
            check(System.nanoTime() < end) { "$failure after $STARTUP_TIMEOUT_SECONDS s" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        const val MAXIMUM_ERROR_CHARACTERS = 500
    }
}

/** CPU time of process [pid] in seconds, user and system. */
internal fun cpuSeconds(pid: Long): Double {
    // Fields are counted after the command name, which is in parentheses and may contain spaces.
    val fields = File("/proc/$pid/stat").readText().substringAfterLast(')').trim().split(' ')
    return (fields[USER_TIME_FIELD].toLong() + fields[USER_TIME_FIELD + 1].toLong()) / TICKS_PER_SECOND
}

/** Resident memory of process [pid] in bytes. */
internal fun residentBytes(pid: Long): Long =
    File("/proc/$pid/status").readLines().first { it.startsWith("VmRSS:") }.filter(Char::isDigit).toLong() * KIB
