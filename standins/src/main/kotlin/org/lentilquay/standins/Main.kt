/*
 * Command that runs one stand-in as a process. It prints `ready <kind> 127.0.0.1:<port>` when the stand-in listens,
 * and stops it on SIGTERM. Times are milliseconds.
 */
package org.lentilquay.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.lentilquay.protocol.PlatformControl

fun main(arguments: Array<String>) =
    StandInCommand().subcommands(EngineCommand(), ServiceCommand(), PlatformCommand()).main(arguments)

private class StandInCommand : NoOpCliktCommand(name = "standins") {
    override fun help(context: Context) = "Stand-ins for the systems outside lentilquay."
}

private class EngineCommand : CliktCommand(name = "engine") {
    private val defaults = EngineOptions()
    private val port by option("--port", help = "0 takes a free port").int().default(0)
    private val baseModel by option("--base-model").default(defaults.baseModel)
    private val slots by option("--slots", help = "adapter slots").int().default(defaults.slots)
    private val maximumInFlight by option("--max-in-flight", help = "batch slots").int()
        .default(defaults.maximumInFlight)
    private val queueLimit by option("--queue-limit", help = "requests that may wait for a batch slot").int()
        .default(defaults.queueLimit)
    private val coldInFlight by option("--cold-in-flight", help = "limit of requests during a cold start").int()
        .default(defaults.coldInFlight)
    private val coldMillis by option("--cold-ms").long().default(defaults.coldMillis)
    private val downMillis by option("--down-ms", help = "time without listener after a crash").long()
        .default(defaults.downMillis)
    private val firstTokenMillis by option("--first-token-ms").long().default(defaults.firstTokenMillis)
    private val tokenMillis by option("--token-ms", help = "time per token in a batch of one").double()
        .default(defaults.tokenMillis)
    private val slowdown by option("--slowdown", help = "fraction by which each request slows a step").double()
        .default(defaults.slowdownPerRequest)
    private val answerTokens by option("--answer-tokens", help = "tokens per answer; 0 for no limit").int()
        .default(defaults.answerTokens)
    private val loadMillis by option("--load-ms").long().default(defaults.loadMillis)
    private val weightStore by option("--weight-store", help = "base address, such as http://127.0.0.1:8400")
    private val ignoresFencing by option("--ignore-fencing", help = "accept any fencing number").flag()
    private val reportLagMillis by option("--report-lag-ms").long().default(defaults.reportLagMillis)
    private val cacheEventDelayMillis by option("--cache-event-delay-ms").long().default(defaults.cacheEventDelayMillis)
    private val cacheEventLoss by option("--cache-event-loss", help = "fraction of lost events").double()
        .default(defaults.cacheEventLoss)
    private val resumeMillis by option("--resume-ms", help = "time for which a dropped stream is kept").long()
        .default(defaults.resumeMillis)
    private val crashMarker by option("--crash-marker").default(defaults.crashMarker)
    private val logBodies by option("--log-bodies", help = "keep request bodies in the records").flag()

    override fun help(context: Context) = "A model engine with adapter slots."

    override fun run() {
        val options = EngineOptions(
            port = port,
            baseModel = baseModel,
            slots = slots,
            maximumInFlight = maximumInFlight,
            queueLimit = queueLimit,
            coldInFlight = coldInFlight,
            coldMillis = coldMillis,
            downMillis = downMillis,
            firstTokenMillis = firstTokenMillis,
            tokenMillis = tokenMillis,
            slowdownPerRequest = slowdown,
            answerTokens = answerTokens,
            loadMillis = loadMillis,
            weightStore = weightStore,
            checksFencing = !ignoresFencing,
            reportLagMillis = reportLagMillis,
            cacheEventDelayMillis = cacheEventDelayMillis,
            cacheEventLoss = cacheEventLoss,
            resumeMillis = resumeMillis,
            crashMarker = crashMarker,
            logBodies = logBodies,
        )
        modelEngine(options).let { serve("engine", it.port, it) }
    }
}

private class ServiceCommand : CliktCommand(name = "service") {
    private val defaults = ServiceOptions()
    private val port by option("--port", help = "0 takes a free port").int().default(0)
    private val maximumInFlight by option("--max-in-flight").int().default(defaults.maximumInFlight)
    private val coldInFlight by option("--cold-in-flight", help = "limit of calls during a cold start").int()
        .default(defaults.coldInFlight)
    private val coldMillis by option("--cold-ms").long().default(defaults.coldMillis)
    private val downMillis by option("--down-ms", help = "time without listener after a crash").long()
        .default(defaults.downMillis)
    private val workMillis by option("--work-ms", help = "time between effect and response").long()
        .default(defaults.workMillis)
    private val crashMarker by option("--crash-marker").default(defaults.crashMarker)

    override fun help(context: Context) = "A plain service for bookings and device status."

    override fun run() {
        val options =
            ServiceOptions(port, maximumInFlight, coldInFlight, coldMillis, downMillis, workMillis, crashMarker)
        plainService(options).let { serve("service", it.port, it) }
    }
}

private class PlatformCommand : CliktCommand(name = "platform") {
    private val defaults = PlatformOptions()
    private val port by option("--port", help = "0 takes a free port").int().default(0)
    private val writes by option("--writes-per-second", help = "0 for no limit").double()
        .default(defaults.writesPerSecond)
    private val reads by option("--reads-per-second", help = "0 for no limit").double().default(defaults.readsPerSecond)
    private val loads by option("--weight-loads-per-second", help = "0 for no limit").double()
        .default(defaults.weightLoadsPerSecond)
    private val atFullSpeed by option("--weight-loads-at-full-speed", help = "fetches without slowdown").int()
        .default(defaults.weightLoadsAtFullSpeed)
    private val fetchMillis by option("--weight-fetch-ms").long().default(defaults.weightFetchMillis)
    private val listLagMillis by option("--list-lag-ms").long().default(0)

    override fun help(context: Context) = "Table service, object store, VM list and weight store."

    override fun run() {
        val control = PlatformControl(listLagMillis = listLagMillis)
        val options = PlatformOptions(port, writes, reads, loads, atFullSpeed, fetchMillis, control)
        platform(options).let { serve("platform", it.port, it) }
    }
}

/** Keeps the process running until SIGTERM, then closes [standIn]. */
private fun serve(kind: String, port: Int, standIn: AutoCloseable) {
    Runtime.getRuntime().addShutdownHook(Thread(standIn::close))
    println("ready $kind 127.0.0.1:$port")
    Thread.currentThread().join()
}
