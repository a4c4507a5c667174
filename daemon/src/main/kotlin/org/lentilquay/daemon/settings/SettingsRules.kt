/*
 * Validates the values of settings: names, addresses, ranges, and relations between values.
 */
package org.lentilquay.daemon.settings

import org.lentilquay.transport.http.ipAddressOf

private const val MAXIMUM_QUOTA_SEATS = 1_024
private const val MINIMUM_BODY_BYTES = 1_024
private const val MINIMUM_HEADER_BYTES = 1_024
private val IDENTIFIER = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
private val SHA256 = Regex("[0-9a-f]{64}")

/** Lists every rule that [settings] violate. */
internal fun ruleErrors(settings: Settings): List<JsonPathError> = SettingsValidator().apply {
    names(settings)
    addresses(settings)
    operators(settings.operators)
    limits(settings)
    timing(settings.timing)
}.errors

private class SettingsValidator {
    val errors = mutableListOf<JsonPathError>()

    fun names(settings: Settings) {
        name("vm", settings.vm.text)
        name("failureDomain", settings.failureDomain.text)
        name("weightStore.name", settings.weightStore.name)
        settings.seeds.forEachIndexed { index, seed ->
            name("seeds[$index].vm", seed.vm.text)
            name("seeds[$index].failureDomain", seed.failureDomain.text)
            require("seeds[$index].vm", seed.vm != settings.vm) { "is this VM itself" }
        }
        unique("seeds", "vm", settings.seeds.map { it.vm.text })
    }

    fun addresses(settings: Settings) {
        val listeners = listOf(
            "callers.listen" to settings.callers.listen,
            "administration.listen" to settings.administration.listen,
            "peers.listen" to settings.peers.listen,
        )
        listeners.forEach { (path, address) -> address(path, address, allowPortZero = true) }
        listeners.groupBy { it.second }.values.filter { it.size > 1 && !it[0].second.endsWith(":0") }.forEach { same ->
            require(same.last().first, false) { "is the same address as ${same.first().first}" }
        }
        settings.peers.advertise?.let { address("peers.advertise", it) }
        require("peers.advertise", settings.peers.advertise != null || !isUnspecified(settings.peers.listen)) {
            "is required because peers.listen binds to all addresses"
        }
        address("platform.address", settings.platform.address)
        settings.seeds.forEachIndexed { index, seed -> address("seeds[$index].address", seed.address) }
    }

    fun operators(operators: List<OperatorSettings>) {
        require("operators", operators.isNotEmpty()) { "must name at least one operator" }
        operators.forEachIndexed { index, operator ->
            name("operators[$index].name", operator.name)
            require("operators[$index].tokenSha256", SHA256.matches(operator.tokenSha256)) {
                "must be a SHA-256 as 64 lowercase hexadecimal digits"
            }
        }
        unique("operators", "name", operators.map { it.name })
        // The audit trail could not distinguish two operators with the same token.
        unique("operators", "tokenSha256", operators.map { it.tokenSha256 })
    }

    fun limits(settings: Settings) {
        require("limits.bodyBytes", settings.limits.bodyBytes >= MINIMUM_BODY_BYTES) {
            "must be at least $MINIMUM_BODY_BYTES"
        }
        require("limits.headerBytes", settings.limits.headerBytes >= MINIMUM_HEADER_BYTES) {
            "must be at least $MINIMUM_HEADER_BYTES"
        }
        positive("limits.concurrentRequests", settings.limits.concurrentRequests.toLong())
        settings.limits.connections?.let { positive("limits.connections", it.toLong()) }
        positive("limits.headerMillis", settings.limits.headerMillis)
        positive("limits.idleMillis", settings.limits.idleMillis)
        positive("platform.timeoutMillis", settings.platform.timeoutMillis)
        positive("platform.concurrentCalls", settings.platform.concurrentCalls.toLong())
        positive("weightStore.parallelLoads", settings.weightStore.parallelLoads.toLong())
        require("weightStore.loadsPerSecond", settings.weightStore.loadsPerSecond > 0) { "must be positive" }
        require("quotaSeats", settings.quotaSeats in 1..MAXIMUM_QUOTA_SEATS) {
            "must be from 1 to $MAXIMUM_QUOTA_SEATS"
        }
    }

    fun timing(timing: TimingSettings) {
        timingValues(timing).forEach { (name, value) -> positive("timing.$name", value) }
        below("renewMillis", timing.renewMillis, "leaseMillis", timing.leaseMillis)
        below("claimMillis", timing.claimMillis, "claimValidityMillis", timing.claimValidityMillis)
        below("reservePollMillis", timing.reservePollMillis, "grantValidityMillis", timing.grantValidityMillis)
        below("headPollMillis", timing.headPollMillis, "freshnessMillis", timing.freshnessMillis)
        below("probeMillis", timing.probeMillis, "suspicionMillis", timing.suspicionMillis)
    }

    private fun timingValues(timing: TimingSettings): Map<String, Long> = mapOf(
        "leaseMillis" to timing.leaseMillis,
        "leaseMarginMillis" to timing.leaseMarginMillis,
        "renewMillis" to timing.renewMillis,
        "claimMillis" to timing.claimMillis,
        "claimValidityMillis" to timing.claimValidityMillis,
        "grantValidityMillis" to timing.grantValidityMillis,
        "reservePollMillis" to timing.reservePollMillis,
        "networkMarginMillis" to timing.networkMarginMillis,
        "headPollMillis" to timing.headPollMillis,
        "freshnessMillis" to timing.freshnessMillis,
        "probeMillis" to timing.probeMillis,
        "suspicionMillis" to timing.suspicionMillis,
        "tokenTransferMillis" to timing.tokenTransferMillis,
        "planValidityMillis" to timing.planValidityMillis,
        "duplicateWaitMillis" to timing.duplicateWaitMillis,
        "quarantineMillis" to timing.quarantineMillis,
        "loadReportMillis" to timing.loadReportMillis,
        "streamIdleMillis" to timing.streamIdleMillis,
        "drainMillis" to timing.drainMillis,
    )

    private fun name(path: String, text: String) = require(path, IDENTIFIER.matches(text)) {
        "must be 1 to 64 letters, digits, dots, dashes or underscores"
    }

    private fun address(path: String, text: String, allowPortZero: Boolean = false) {
        val address = ipAddressOf(text)
        require(path, address != null) { "must be an address of the form ip:port" }
        require(path, allowPortZero || address?.port != 0) { "must name a port other than 0" }
    }

    private fun unique(list: String, field: String, values: List<String>) {
        values.forEachIndexed { index, value ->
            val first = values.indexOf(value)
            require("$list[$index].$field", first == index) { "is the same as in $list[$first]" }
        }
    }

    private fun below(lower: String, lowerValue: Long, upper: String, upperValue: Long) =
        require("timing.$lower", lowerValue < upperValue) { "must be less than $upper" }

    private fun positive(path: String, value: Long) = require(path, value > 0) { "must be positive" }

    private fun require(path: String, holds: Boolean, message: () -> String) {
        if (!holds) errors += JsonPathError("$ROOT_PATH.$path", message())
    }
}

private fun isUnspecified(listen: String): Boolean = ipAddressOf(listen)?.ip in setOf("0.0.0.0", "::")
