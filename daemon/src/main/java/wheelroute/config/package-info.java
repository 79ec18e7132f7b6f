/**
 * The only place where the environment (LB_*), the configuration file and the settings are read,
 * checked and given defaults.
 */
package wheelroute.config;
